/**
 * Registry of the decisions that are active only where the configuration, the settings or the observed load call for
 * them. Where a feature is inactive, requests are served as if it did not exist.
 */
import { type Configuration, type EngineSpec, type Route } from "./configurations.js";

export const featureNames = [
    /** Limits the gaps that prefilling a long prompt causes in the streams of the same engine. */
    "stream-interference",
    /** Lets requests wait for a model that can be loaded within their objective. */
    "load-waiting",
    /** One admission level for the whole fleet while capacity is short. */
    "shared-admission",
    /** Weighted shares of client accounts while capacity is short. */
    "fair-shares",
    /** Selects upstreams by the pace that they report in their responses. */
    "reported-pace",
    /** Sheds load by the capacity of the entry's own host. */
    "host-capacity",
] as const;
export type Feature = typeof featureNames[number];

/**
 * Prompt size in tokens from which a prompt counts as long: prefilling it takes longer than decoding the tokens of one
 * event.
 */
export const longPromptTokens = 8192;

/** Processor shares of hosts count as uneven from this ratio of the largest to the smallest. */
export const unevenHostRatio = 1.5;

/** Facts beyond the configuration that features depend on. */
export interface FeatureFacts {
    /** Whether the settings say that capacity is contended. */
    readonly isCapacityContended: boolean;
    /** Services that have received a prompt of at least {@link longPromptTokens}. */
    readonly longPromptServices: ReadonlySet<string>;
    /** Services with an upstream that reports its pace. */
    readonly reportedPaceServices: ReadonlySet<string>;
    /** Ratio of the largest to the smallest processor share among live entries; 1 if unknown. */
    readonly hostRatio: number;
}

/** Returns the active features of the whole deployment; some of them act on a part of the services or routes only. */
export function activeFeatures(configuration: Configuration, facts: FeatureFacts): ReadonlySet<Feature> {
    const active = new Set<Feature>();
    const { routes, services } = configuration;
    if (services.some(({ name }) => hasStreamInterference(configuration, name, facts.longPromptServices))) {
        active.add("stream-interference");
    }
    if (services.some(({ name, engine }) => routesOf(routes, name).some(route => waitsForSomeLoad(route, engine)))) {
        active.add("load-waiting");
    }
    if (facts.isCapacityContended && services.some(({ name }) => priorityCount(routes, name) > 1)) {
        active.add("shared-admission");
    }
    if (facts.isCapacityContended && (configuration.accounts?.length ?? 0) > 0) {
        active.add("fair-shares");
    }
    if (facts.reportedPaceServices.size > 0) {
        active.add("reported-pace");
    }
    if (facts.hostRatio >= unevenHostRatio) {
        active.add("host-capacity");
    }
    return active;
}

/** Whether long prompts and streams with an allowed gap share the engines of a service. */
export function hasStreamInterference(
    { routes, services }: Configuration,
    service: string,
    longPromptServices: ReadonlySet<string>,
): boolean {
    return longPromptServices.has(service)
        && services.some(({ name, engine }) => name === service && engine !== undefined)
        && routesOf(routes, service).some(({ pauseMs }) => pauseMs > 0);
}

/** Whether a model can be loaded from the weight store within the objective of a route. */
export function objectiveCoversLoad(route: Route, engine: EngineSpec | undefined, model: string): boolean {
    const loadMs = engine?.models.find(({ name }) => name === model)?.loadMs;
    return loadMs !== undefined && route.objectiveMs > loadMs;
}

/** Number of distinct priorities among the routes of a service. */
export function priorityCount(routes: readonly Route[], service: string): number {
    return new Set(routesOf(routes, service).map(({ priority }) => priority)).size;
}

function waitsForSomeLoad(route: Route, engine: EngineSpec | undefined): boolean {
    return engine?.models.some(({ name }) => objectiveCoversLoad(route, engine, name)) ?? false;
}

function routesOf(routes: readonly Route[], service: string): Route[] {
    return routes.filter(({ targets }) => targets.some(target => target.service === service && target.weight > 0));
}
