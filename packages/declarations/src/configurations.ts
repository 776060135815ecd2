/**
 * A complete configuration of routes and services, which is replaced as a whole
 * under a version chosen by its author. Durations are in milliseconds, sizes of
 * weights in megabytes (10^6 bytes).
 */
import { FailureCode, type Issue } from "@winchpath/core";
import Type, { type Static } from "typebox";
import { checkAccounts, ClientAccount } from "./accounts.js";

/** Whether and how a request that may already have run can be retried. */
export const RouteKind = Type.Enum(["safe", "unsafe", "streaming"]);
export type RouteKind = Static<typeof RouteKind>;

/** A service that receives a share of a route's requests. */
export const RouteTarget = Type.Object({
    service: Type.String({ minLength: 1 }),
    weight: Type.Number({ minimum: 0 }),
});
export type RouteTarget = Static<typeof RouteTarget>;

/** Matches requests and defines their targets, timeouts and objectives. */
export const Route = Type.Object({
    name: Type.String({ minLength: 1 }),
    /** Value of the Host header, without a port. */
    host: Type.String({ minLength: 1 }),
    /** Path prefix; starts and ends with a slash. */
    prefix: Type.String({ pattern: "^/(.*/)?$" }),
    kind: RouteKind,
    /** Longest time that the caller is kept waiting. */
    timeoutMs: Type.Number({ exclusiveMinimum: 0 }),
    /** Latency objective for a response, or for a stream's first event. */
    objectiveMs: Type.Number({ minimum: 0 }),
    /** Objective for the pause between two events of a stream; 0 for none. */
    pauseMs: Type.Number({ minimum: 0 }),
    /** 0 is the most urgent. */
    priority: Type.Integer({ minimum: 0 }),
    /** Maximum number of upstreams that a request is sent to. */
    maxAttempts: Type.Integer({ minimum: 1 }),
    /** Whether requests with the same prompt prefix should go to the same upstream. */
    sticky: Type.Boolean(),
    /** Whether an interrupted stream may be resumed at another upstream after the last event. */
    resumable: Type.Boolean(),
    /** Whether requests need no key even if accounts are configured. */
    isPublic: Type.Optional(Type.Boolean()),
    targets: Type.Array(RouteTarget, { minItems: 1 }),
});
export type Route = Static<typeof Route>;

/** A model that a service's engines can load. */
export const EngineModel = Type.Object({
    name: Type.String({ minLength: 1 }),
    sizeMb: Type.Number({ minimum: 0 }),
    /** Loading time from the weight store. */
    loadMs: Type.Number({ minimum: 0 }),
    /** Loading time from a copy in the host's memory. */
    memoryLoadMs: Type.Number({ minimum: 0 }),
    /** Loading time from a copy on the host's disk. */
    diskLoadMs: Type.Number({ minimum: 0 }),
    /** Number of its adapters. */
    adapters: Type.Integer({ minimum: 0 }),
    adapterMb: Type.Number({ minimum: 0 }),
});
export type EngineModel = Static<typeof EngineModel>;

/** Capacity of each engine of a service. */
export const EngineSpec = Type.Object({
    /** Maximum number of concurrent requests. */
    slots: Type.Integer({ minimum: 1 }),
    /** Capacity of the key-value cache in tokens. */
    cacheTokens: Type.Integer({ minimum: 0 }),
    /** Memory for weights and adapters. */
    memoryMb: Type.Number({ minimum: 0 }),
    adapterPlaces: Type.Integer({ minimum: 0 }),
    /** Loads from the weight store that may start per second, across all engines. */
    storeLoadsPerSecond: Type.Number({ minimum: 0 }),
    models: Type.Array(EngineModel),
});
export type EngineSpec = Static<typeof EngineSpec>;

export const UpstreamService = Type.Object({
    name: Type.String({ minLength: 1 }),
    /** Connections that each of its upstreams accepts in total. */
    maxConnections: Type.Integer({ minimum: 1 }),
    engine: Type.Optional(EngineSpec),
});
export type UpstreamService = Static<typeof UpstreamService>;

/** Size limits and timeouts for requests of callers. */
export const ListenerLimits = Type.Object({
    headerBytes: Type.Integer({ minimum: 1 }),
    bodyBytes: Type.Integer({ minimum: 0 }),
    headerTimeoutMs: Type.Number({ minimum: 0 }),
    idleTimeoutMs: Type.Number({ minimum: 0 }),
});
export type ListenerLimits = Static<typeof ListenerLimits>;

export const Configuration = Type.Object({
    version: Type.Integer({ minimum: 0 }),
    routes: Type.Array(Route),
    services: Type.Array(UpstreamService),
    limits: ListenerLimits,
    /** Accounts whose keys are accepted; if absent, requests need no key. */
    accounts: Type.Optional(Type.Array(ClientAccount)),
});
export type Configuration = Static<typeof Configuration>;

/** Checks rules that the schema cannot express; returns no issues if the configuration is valid. */
export function checkConfiguration(configuration: Configuration): Issue[] {
    const services = new Set(configuration.services.map(service => service.name));
    const routeKeys = new Set<string>();
    const issues: Issue[] = [];
    const report = (index: number, key: string, message: string) =>
        issues.push({ code: FailureCode.invalid, path: ["routes", index, key], message });
    configuration.routes.forEach((route, index) => {
        const routeKey = `${route.host} ${route.prefix}`;
        if (routeKeys.has(routeKey)) {
            report(index, "prefix", `another route has the same host and prefix: ${routeKey}`);
        }
        routeKeys.add(routeKey);
        route.targets.filter(target => !services.has(target.service)).forEach(target =>
            report(index, "targets", `unknown service ${target.service}`)
        );
        if (route.targets.every(target => target.weight === 0)) {
            report(index, "targets", "the weights add up to 0");
        }
    });
    const names = configuration.services.map(service => service.name);
    names.filter((name, index) => names.indexOf(name) !== index).forEach(name =>
        issues.push({ code: FailureCode.invalid, path: ["services"], message: `two services are named ${name}` })
    );
    issues.push(...checkAccounts(configuration.accounts ?? []));
    return issues;
}
