/** Matches requests to routes by host and path. */
import { type Configuration, type Route, type RouteTarget } from "@winchpath/declarations";
import { crc32 } from "node:zlib";
import { type RequestMetadata } from "./headercodecs.js";
import { PriorityLevels } from "./prioritylevels.js";

export class RouteTable {
    /** Routes by host, sorted by descending prefix length. */
    private readonly byHost = new Map<string, Route[]>();

    public readonly priorities: PriorityLevels;

    public constructor(public readonly configuration: Configuration) {
        this.priorities = new PriorityLevels(configuration);
        for (const route of configuration.routes) {
            const routes = this.byHost.get(route.host);
            if (routes === undefined) {
                this.byHost.set(route.host, [route]);
            }
            else {
                routes.push(route);
            }
        }
        this.byHost.forEach(routes => routes.sort((a, b) => b.prefix.length - a.prefix.length));
    }

    /** Returns the route of the host with the longest matching path prefix. */
    public match(hostHeader: string, url: string): Route | undefined {
        const path = url.split("?", 1)[0];
        return this.byHost.get(withoutPort(hostHeader))?.find(route => path.startsWith(route.prefix));
    }
}

const crcRange = 2 ** 32;

/** Returns a number from 0 to 1. A stream that its client takes up again gets the one that it began with. */
export function targetDraw(route: Route, { id, resumedId }: Pick<RequestMetadata, "id" | "resumedId">): number {
    const key = resumedId || id;
    return route.kind === "streaming" && route.resumable && key !== undefined ? crc32(key) / crcRange : Math.random();
}

/** Selects a service by weight; `draw` is a random number from 0 to 1. */
export function selectTarget(targets: readonly RouteTarget[], draw: number): string {
    const total = targets.reduce((sum, target) => sum + target.weight, 0);
    let left = draw * total;
    for (const target of targets) {
        left -= target.weight;
        if (left < 0 && target.weight > 0) {
            return target.service;
        }
    }
    return targets.findLast(target => target.weight > 0)!.service;
}

function withoutPort(hostHeader: string): string {
    return hostHeader.replace(/:\d+$/, "").toLowerCase();
}
