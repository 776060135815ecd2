/**
 * Loads, caches and speeds of the engines of services on which long prompts and streams share engines, as known to this
 * entry.
 */
import { steadyNow } from "@winchpath/core";
import { type Configuration, hasStreamInterference, longPromptTokens, type Route } from "@winchpath/declarations";
import {
    blendPaces,
    EngineLoad,
    type EnginePace,
    type EngineState,
    homeCount,
    homesOf,
    identifierHash,
    isPlausiblePace,
    loadFactor,
    PaceEstimator,
    type PromptPrefixes,
    promptPrefixes,
    RecentCount,
    WaitingPromptSizes,
} from "@winchpath/engineload";
import { type DemandMeter, type FleetView, type Upstream } from "@winchpath/fleet";
import { type ActiveFeatures } from "./activefeatures.js";
import { type ReportedLoad } from "./headercodecs.js";
import { type InboundRequest, requiredCacheTokens } from "./inboundrequests.js";
import { type LoadFacts } from "./loadfacts.js";
import { type UpstreamEndpoint } from "./upstreamendpoints.js";

/** Shared prefixes of a service whose rates are known at most. */
const maxPrefixes = 1000;

const noHomes: ReadonlySet<number> = new Set();

/** Estimates for an attempt, for its log line. */
export interface PromptLogFields {
    /** Prompt tokens that the engine has to prefill for the request. */
    readonly prefillTokens: number;
    /** Prompt tokens that were waiting before them. */
    readonly tokensAhead: number;
    /** Age of the engine's last load report in milliseconds; undefined if there was none. */
    readonly reportAgeMs: number | undefined;
}

/** An attempt at an engine of such a service. */
export interface TrackedPrompt {
    /** What was known when the attempt started. */
    readonly logFields: PromptLogFields;
    readonly updateReport: (load: ReportedLoad) => void;
    /** Records that the first event arrived after `ms`. */
    readonly markStarted: (ms: number) => void;
    readonly recordEventInterval: (ms: number) => void;
    readonly finish: () => void;
}

/** How often this entry sends a shared prefix. */
interface PrefixUse {
    readonly count: RecentCount;
    readonly hash: number;
}

interface ServiceLoad {
    /** By endpoint, so that a restarted engine starts without cached parts and without a pace. */
    readonly engines: WeakMap<UpstreamEndpoint, EngineRecord>;
    readonly pace: PaceEstimator;
    readonly waitingPrompts: WaitingPromptSizes;
    /** Long prompts that this entry has sent recently. */
    readonly longPrompts: RecentCount;
    /** The same by shared prefix, least recently used first. */
    readonly prefixes: Map<string, PrefixUse>;
    /** Tokens that its requests have added to the caches of engines recently. */
    readonly cachedTokens: RecentCount;
}

/** State of an engine when a selection looked at it. */
export interface ObservedEngineState extends EngineState {
    /** Requests of this entry at the engine. */
    readonly inFlight: number;
}

/** What all engines of a service have in common for one request. */
interface SelectionContext {
    readonly request: InboundRequest;
    readonly service: ServiceLoad;
    /** Monotonic time at which it was computed, in milliseconds. */
    readonly at: number;
    readonly pace: EnginePace | undefined;
    readonly prefixes: PromptPrefixes;
    /** Mean prompt tokens of the waiting requests of other entries. */
    readonly tokensPerRequest: number;
    /** Smallest allowed gap among the routes of the service, in milliseconds; undefined if none has one. */
    readonly tightestGapMs: number | undefined;
    /** Long prompts that this entry has sent recently; at least 1. */
    readonly longPrompts: number;
    /** States of the engines that were looked at. */
    readonly states: Map<UpstreamEndpoint, ObservedEngineState>;
}

interface EngineRecord {
    readonly load: EngineLoad;
    readonly hash: number;
    /** Description from which the cache contents were last checked. */
    description: Upstream;
}

export interface InterferenceDependencies {
    readonly view: Pick<FleetView<Configuration>, "configuration" | "entries" | "upstreams">;
    /** Reports the paces of engines to the leader. */
    readonly meter: Pick<DemandMeter, "engineTimings">;
}

export class StreamInterference {
    private readonly services = new Map<string, ServiceLoad>();
    private context: SelectionContext | undefined;

    public constructor(
        private readonly features: Pick<ActiveFeatures, "has">,
        private readonly facts: Pick<LoadFacts, "longPromptServices">,
        private readonly deps: InterferenceDependencies,
    ) {}

    /** Whether interference is considered for requests to a service. */
    public isActive(service: string): boolean {
        const { configuration } = this.deps.view;
        return configuration !== undefined && this.features.has("stream-interference")
            && hasStreamInterference(configuration, service, this.facts.longPromptServices);
    }

    /** Discards what is known of a service that is inactive, since it is outdated once the service is active again. */
    private discardInactive(service: string): void {
        if (!this.isActive(service)) {
            this.services.delete(service);
        }
    }

    /** Tracks an attempt; undefined if interference is not considered for the service. */
    public track(request: InboundRequest, endpoint: UpstreamEndpoint): TrackedPrompt | undefined {
        this.discardInactive(request.service);
        if (!this.isActive(request.service)) {
            return undefined;
        }
        this.context = undefined;
        const service = this.serviceOf(request.service);
        const { load } = recordOf(service, endpoint);
        const prefixes = prefixesOf(request);
        const prefillTokens = Math.max(0, request.metadata.promptTokens - load.prefixes.cachedTokens(prefixes));
        const { tokensAhead } = load.occupancy(steadyNow(), request.priority, service.waitingPrompts.meanTokens);
        const { reportAgeMs } = load;
        const logFields = {
            prefillTokens,
            tokensAhead: Math.round(tokensAhead),
            reportAgeMs: Number.isFinite(reportAgeMs) ? reportAgeMs : undefined,
        };
        const tracked = load.track({
            priority: request.priority,
            prefillTokens,
            allowedGapMs: request.route.pauseMs,
        });
        service.waitingPrompts.record(prefillTokens);
        service.cachedTokens.add(requiredCacheTokens(request));
        if (isLongPrompt(request)) {
            load.longPrompts.add();
            service.longPrompts.add();
            recordPrefix(service.prefixes, prefixes.sharedKey);
        }
        const currentLoadFactor = () => {
            const { running } = load.occupancy(steadyNow(), request.priority, 0);
            return loadFactor(running, endpoint.description.slots);
        };
        return {
            logFields,
            updateReport: report => load.updateReport(report),
            markStarted: ms => {
                tracked.markStarted();
                load.prefixes.record(prefixes, this.cacheTokens(request.service) - endpoint.tokensInFlight);
                const factor = currentLoadFactor();
                load.pace.recordFirstEvent(tokensAhead + prefillTokens, ms, factor);
                service.pace.recordFirstEvent(tokensAhead + prefillTokens, ms, factor);
                if (load.pace.pace !== undefined) {
                    this.deps.meter.engineTimings.record(endpoint.id, load.pace.pace);
                }
            },
            recordEventInterval: ms => {
                const factor = currentLoadFactor();
                load.pace.recordEventInterval(ms, factor);
                service.pace.recordEventInterval(ms, factor);
            },
            finish: tracked.finish,
        };
    }

    /** The state of an engine as seen by a request; undefined if inactive, or while no pace is known. */
    public stateOf(request: InboundRequest, endpoint: UpstreamEndpoint): ObservedEngineState | undefined {
        const context = this.contextOf(request);
        if (context === undefined) {
            return undefined;
        }
        let state = context.states.get(endpoint);
        if (state === undefined) {
            state = this.createState(request, endpoint, context);
            if (state !== undefined) {
                context.states.set(endpoint, state);
            }
        }
        return state;
    }

    private createState(
        request: InboundRequest,
        endpoint: UpstreamEndpoint,
        context: SelectionContext,
    ): ObservedEngineState | undefined {
        const { load } = recordOf(context.service, endpoint);
        const pace = blendPaces(load.pace.pace, publishedPace(endpoint.description) ?? context.pace);
        if (pace === undefined) {
            return undefined;
        }
        const { at, tokensPerRequest } = context;
        const occupancy = load.occupancy(at, request.priority, tokensPerRequest, pace.promptTokensPerMs);
        return {
            pace,
            slots: endpoint.description.slots,
            inFlight: endpoint.inFlight,
            running: occupancy.running,
            others: occupancy.others,
            tokensAhead: occupancy.tokensAhead,
            knownTokensAhead: occupancy.knownTokensAhead,
            tokensWaiting: occupancy.tokensWaiting,
            prefillTokens: Math.max(0, request.metadata.promptTokens - load.prefixes.cachedTokens(context.prefixes)),
            tightestGapMs: load.tightestGapMs ?? (occupancy.running > 0 ? context.tightestGapMs : undefined),
            longPromptShare: Math.min(1, load.longPrompts.valueAt(context.at) / context.longPrompts),
        };
    }

    /**
     * Indices of the engines to which the prefix of a long prompt is assigned, of those that `accepts` returns true for.
     * `cachedPrefillMs`: time to prefill the prompt where the prefix is cached.
     */
    public homesOf(
        request: InboundRequest,
        endpoints: readonly UpstreamEndpoint[],
        cachedPrefillMs: number,
        accepts: (index: number) => boolean,
    ): ReadonlySet<number> {
        const context = this.contextOf(request);
        const sharedKey = context?.prefixes.sharedKey;
        if (context === undefined || sharedKey === undefined) {
            return noHomes;
        }
        const { service } = context;
        const { cachedTokens } = service;
        const use = service.prefixes.get(sharedKey);
        const entries = Math.max(1, this.deps.view.entries);
        const promptsPerMs = (use?.count.ratePerMs(context.at) ?? 0) * entries;
        const tokensPerMs = cachedTokens.ratePerMs(context.at) * entries / this.engineCount(request.service);
        const retentionMs = this.cacheTokens(request.service) / tokensPerMs;
        const count = homeCount({ promptsPerMs, prefillMs: cachedPrefillMs, retentionMs });
        const hashes = endpoints.map(endpoint => recordOf(service, endpoint).hash);
        return homesOf(use?.hash ?? identifierHash(sharedKey), hashes, count, accepts);
    }

    /** Computed once per selection, which is synchronous; undefined if inactive. */
    private contextOf(request: InboundRequest): SelectionContext | undefined {
        if (this.context?.request === request) {
            return this.context;
        }
        this.discardInactive(request.service);
        if (!this.isActive(request.service)) {
            return undefined;
        }
        const now = steadyNow();
        const service = this.serviceOf(request.service);
        const { pace, waitingPrompts, longPrompts } = service;
        queueMicrotask(() => this.context = undefined);
        this.context = {
            request,
            service,
            at: now,
            pace: pace.pace,
            prefixes: prefixesOf(request),
            tokensPerRequest: waitingPrompts.meanTokens,
            tightestGapMs: this.tightestGapOf(request.service),
            longPrompts: Math.max(1, longPrompts.valueAt(now)),
            states: new Map(),
        };
        return this.context;
    }

    private serviceOf(service: string): ServiceLoad {
        let load = this.services.get(service);
        if (load === undefined) {
            load = {
                engines: new WeakMap(),
                pace: new PaceEstimator(),
                waitingPrompts: new WaitingPromptSizes(),
                longPrompts: new RecentCount(),
                prefixes: new Map(),
                cachedTokens: new RecentCount(),
            };
            this.services.set(service, load);
        }
        return load;
    }

    /** Smallest allowed gap among the routes of a service, for streams of other entries. */
    private tightestGapOf(service: string): number | undefined {
        const { configuration } = this.deps.view;
        const gaps = configuration?.routes.filter(route => leadsTo(route, service)).map(({ pauseMs }) => pauseMs)
            .filter(pauseMs => pauseMs > 0) ?? [];
        return gaps.length === 0 ? undefined : Math.min(...gaps);
    }

    private engineCount(service: string): number {
        let count = 0;
        for (const upstream of this.deps.view.upstreams()) {
            count += upstream.service === service ? 1 : 0;
        }
        return Math.max(1, count);
    }

    private cacheTokens(service: string): number {
        return this.deps.view.configuration?.services.find(({ name }) => name === service)?.engine?.cacheTokens ?? 0;
    }
}

function recordOf({ engines }: ServiceLoad, endpoint: UpstreamEndpoint): EngineRecord {
    let record = engines.get(endpoint);
    if (record === undefined) {
        record = {
            load: new EngineLoad(),
            hash: identifierHash(endpoint.id),
            description: endpoint.description,
        };
        engines.set(endpoint, record);
    }
    if (record.description !== endpoint.description) {
        record.description = endpoint.description;
        record.load.prefixes.retainModels(new Set(endpoint.description.models.map(({ name }) => name)));
    }
    return record;
}

/** Whether prefilling the prompt causes gaps in streams. */
export function isLongPrompt({ metadata }: InboundRequest): boolean {
    return metadata.promptTokens >= longPromptTokens;
}

function recordPrefix(uses: Map<string, PrefixUse>, sharedKey: string | undefined): void {
    if (sharedKey === undefined) {
        return;
    }
    const use = uses.get(sharedKey) ?? { count: new RecentCount(), hash: identifierHash(sharedKey) };
    use.count.add();
    uses.delete(sharedKey);
    uses.set(sharedKey, use);
    if (uses.size > maxPrefixes) {
        uses.delete(uses.keys().next().value!);
    }
}

/** The pace that the leader has merged over all entries; undefined if there is none. */
function publishedPace({ timing }: Upstream): EnginePace | undefined {
    return timing !== undefined && isPlausiblePace(timing.promptTokensPerMs) && (timing.eventMs ?? 0) >= 0
        ? timing
        : undefined;
}

function prefixesOf({ metadata: { model, adapter, promptParts } }: InboundRequest): PromptPrefixes {
    return promptPrefixes(model, adapter, promptParts);
}

function leadsTo(route: Route, service: string): boolean {
    return route.targets.some(target => target.service === service);
}
