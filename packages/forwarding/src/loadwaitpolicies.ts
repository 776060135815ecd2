/** Applies the decisions on waiting for model loads and full engines to the requests of an entry. */
import { fullWaitMs, type LoadForecast, loadRetryMs, loadWaitMs } from "@winchpath/admission";
import { type Configuration, type EngineSpec, objectiveCoversLoad } from "@winchpath/declarations";
import { type ActiveFeatures } from "./activefeatures.js";
import { ageMs, firstEventRemainingMs, type InboundRequest, unsharedPromptTokens } from "./inboundrequests.js";
import { type ThroughputTable } from "./throughputs.js";

export class LoadWaitPolicy {
    public constructor(
        private readonly features: Pick<ActiveFeatures, "has">,
        private readonly throughput: Pick<ThroughputTable, "durationMs">,
        private readonly configuration: () => Configuration | undefined,
    ) {}

    /** Whether the objective of the request covers a load of its model, so that it waits instead of being retried. */
    public appliesTo(request: InboundRequest): boolean {
        return this.features.has("load-waiting")
            && objectiveCoversLoad(request.route, this.engineOf(request), request.metadata.model);
    }

    /**
     * Returns how long the request waits for its model, in milliseconds.
     *
     * @param readyInMs time until a load in progress ends; undefined if none is known
     * @param earlyMs time left to reject the request early enough for a retry
     */
    public loadWaitMs(request: InboundRequest, readyInMs: number | undefined, earlyMs: number): number {
        return loadWaitMs(this.forecast(request, readyInMs), {
            firstEventRemainingMs: firstEventRemainingMs(request),
            workMs: this.workMs(request),
            earlyMs,
        });
    }

    /** Returns the Retry-After of a request that is rejected for lack of its model, in milliseconds. */
    public loadRetryMs(request: InboundRequest, readyInMs: number | undefined): number {
        return loadRetryMs(this.forecast(request, readyInMs));
    }

    /** Returns how long the request waits for a full engine, in milliseconds. */
    public fullWaitMs(request: InboundRequest): number {
        return fullWaitMs(request.route.objectiveMs, ageMs(request), this.workMs(request));
    }

    /** Returns the expected time to process the prompt, in milliseconds; 0 until it is known. */
    public workMs(request: InboundRequest): number {
        return this.throughput.durationMs(request.service, request.metadata.model, unsharedPromptTokens(request));
    }

    private forecast(request: InboundRequest, readyInMs: number | undefined): LoadForecast {
        const model = this.engineOf(request)?.models.find(({ name }) => name === request.metadata.model);
        return { readyInMs, storeLoadMs: model?.loadMs ?? Number.POSITIVE_INFINITY };
    }

    private engineOf({ service }: InboundRequest): EngineSpec | undefined {
        return this.configuration()?.services.find(({ name }) => name === service)?.engine;
    }
}
