/** Checks, before a request is sent, that the configuration in force still routes it to the service that was selected. */
import { type Configuration } from "@winchpath/declarations";
import { type FleetView } from "@winchpath/fleet";
import { type Refusal } from "./admissioncontrollers.js";
import { type InboundRequest } from "./inboundrequests.js";
import { LocalResponse } from "./localresponses.js";
import { RouteTable } from "./routetables.js";

/** Retry-After in milliseconds; the client may return at once. */
const movedRetryMs = 10;
const movedRefusal: Refusal = { kind: "refused", response: LocalResponse.routeMoved, retryAfterMs: movedRetryMs };

export class RoutingCheck {
    private routes: RouteTable | undefined;

    public constructor(private readonly view: Pick<FleetView<Configuration>, "configuration" | "version">) {}

    /**
     * Returns a refusal if a newer configuration routes the request elsewhere, or nowhere. A request that an upstream may have
     * run stays with its service, which may know of the earlier run.
     */
    public refusal(request: InboundRequest): Refusal | undefined {
        const { version } = this.view;
        if (request.decidedByVersion === version || request.attemptedUpstreams.length > 0) {
            return undefined;
        }
        if (!this.isStillRouted(request)) {
            return movedRefusal;
        }
        request.decidedByVersion = version;
        return undefined;
    }

    private isStillRouted({ host, url, service }: InboundRequest): boolean {
        const targets = this.currentRoutes()?.match(host, url)?.targets ?? [];
        return targets.some(target => target.service === service && target.weight > 0);
    }

    private currentRoutes(): RouteTable | undefined {
        const { configuration } = this.view;
        if (configuration !== undefined && configuration !== this.routes?.configuration) {
            this.routes = new RouteTable(configuration);
        }
        return this.routes;
    }
}
