/**
 * A simplified model engine with continuous batching. Each step prefills a chunk of the pending prompts in order of
 * priority and decodes one token for every request whose prompt has been read. Models occupy a bounded memory and load
 * from memory, disk or the weight store.
 */
import { create } from "@bufbuild/protobuf";
import { Deferred, Notifier, sleep } from "@winchpath/core";
import { type EngineModel, type EngineSpec } from "@winchpath/declarations";
import {
    type Announcement,
    AnnouncementSchema,
    createHeldModel,
    type EngineOrder,
    type EngineReport,
    OrderReply,
    UpstreamState,
} from "@winchpath/fleet";
import { type SeededRandom } from "./seededrandoms.js";

/** Duration of a step without requests, in milliseconds. */
const baseStepMs = 9;
/** Time that each active request adds to a step, in milliseconds; with 64 active requests a step takes twice as long. */
const stepMsPerRequest = 0.14;
/** Prompt tokens that a step prefills at most; bounds how long prefill delays the decoding of other requests. */
const maxPromptTokensPerStep = 2048;
const prefillTokensPerMs = 19;
const adapterLoadMs = 12;
/** Number of models whose weights a host caches in memory and on disk. */
const maxCopiesInMemory = 2;
const maxCopiesOnDisk = 6;

/** A request as an engine sees it. */
export interface EngineRequest {
    readonly model: string;
    readonly adapter: string;
    /** Lower values are served first. */
    readonly priority: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/** How an engine finished a request; `lacking`: the model or adapter isn't loaded; `dropped`: aborted. */
export type EngineResult = "done" | "failed" | "full" | "lacking" | "dropped";

interface ActiveRequest {
    readonly request: EngineRequest;
    readonly signal: AbortSignal;
    readonly onFirstToken: () => void;
    readonly result: Deferred<EngineResult>;
    promptTokensLeft: number;
    outputTokensLeft: number;
}

/** A rate limit that an engine advertises in its responses during an interval. */
export interface AdvertisedLimit {
    /** Requests per second accepted from all entries together. */
    readonly perSecond: number;
    /** Start of the interval, as a time of the simulated clock. */
    readonly from: number;
    /** End of the interval, exclusive. */
    readonly until: number;
}

export class SimulatedEngine {
    /** Fraction of requests that fail when they start. */
    public failureRate = 0;
    public advertisedLimit: AdvertisedLimit | undefined;
    /** Arrival times of all requests, including refused ones. */
    public readonly arrivals: number[] = [];
    public readonly copiesInMemory: string[] = [];
    public readonly copiesOnDisk: string[] = [];
    /** Number of requests that passed the checks for a loaded model and a free slot. */
    public startedRequests = 0;
    /** Number of model loads from the weight store. */
    public storeLoads = 0;
    private readonly models = new Map<string, Set<string>>();
    private activeRequests: ActiveRequest[] = [];
    private acceptedOrders = 0;
    private isChangingModel = false;
    private sequence = 0;
    private readonly requestFinished = new Notifier();

    public constructor(
        public readonly id: string,
        public readonly dataCentre: string,
        private readonly spec: EngineSpec,
        private readonly random: SeededRandom,
    ) {
        void this.runSteps();
    }

    /** Makes a model available immediately, without a load. */
    public addModel(model: string): void {
        this.models.set(model, new Set());
        this.cacheWeights(model);
    }

    public get loadedModels(): readonly string[] {
        return [...this.models.keys()];
    }

    public get running(): number {
        return this.activeRequests.length;
    }

    /** Requests whose prompt has not been read. */
    public get waiting(): number {
        return this.activeRequests.filter(({ promptTokensLeft }) => promptTokensLeft > 0).length;
    }

    public get slots(): number {
        return this.spec.slots;
    }

    /** The limit advertised now, in requests per second; undefined if there is none. */
    public get limitPerSecond(): number | undefined {
        const now = Date.now();
        return this.advertisedLimit !== undefined && now >= this.advertisedLimit.from
                && now < this.advertisedLimit.until
            ? this.advertisedLimit.perSecond
            : undefined;
    }

    /** Whether the model fits into the remaining memory. */
    public fits(model: EngineModel): boolean {
        const usedMemoryMb = [...this.models.keys()].reduce((sum, name) => sum + this.findModel(name).sizeMb, 0);
        return usedMemoryMb + model.sizeMb <= this.spec.memoryMb;
    }

    /** Returns the announcement that the engine sends to the leader. */
    public announcement(service: string): Announcement {
        this.sequence += 1;
        return create(AnnouncementSchema, {
            upstream: {
                id: this.id,
                name: this.id,
                service,
                address: `${this.id}:1`,
                dataCentre: this.dataCentre,
                slots: this.spec.slots,
                state: UpstreamState.READY,
                models: this.heldModels(),
            },
            sequence: BigInt(this.sequence),
            inMemory: [...this.copiesInMemory],
            onDisk: [...this.copiesOnDisk],
        });
    }

    /** Runs a request until it finishes or the signal is aborted. */
    public async run(request: EngineRequest, signal: AbortSignal, onFirstToken: () => void): Promise<EngineResult> {
        this.arrivals.push(Date.now());
        const loadedAdapters = this.models.get(request.model);
        if (loadedAdapters === undefined || (request.adapter !== "" && !loadedAdapters.has(request.adapter))) {
            return "lacking";
        }
        if (this.activeRequests.length >= this.spec.slots) {
            return "full";
        }
        this.startedRequests += 1;
        if (this.random.uniform() < this.failureRate) {
            return "failed";
        }
        const active = {
            request,
            signal,
            onFirstToken,
            result: new Deferred<EngineResult>(),
            promptTokensLeft: request.promptTokens,
            outputTokensLeft: request.outputTokens,
        };
        this.activeRequests.push(active);
        return active.result.promise;
    }

    /**
     * Applies an order of the leader. It conflicts if a model is being loaded or unloaded, or if `expected` differs from
     * the number of orders accepted so far.
     */
    public handleOrder(order: EngineOrder, expected: number): OrderReply {
        const adapters = this.models.get(order.model);
        if (order.adapter === "" && (adapters !== undefined) === (order.kind === "load") && !this.isChangingModel) {
            return OrderReply.done;
        }
        if (this.isChangingModel || expected !== this.acceptedOrders) {
            return OrderReply.conflict;
        }
        if (order.adapter !== "") {
            return this.handleAdapterOrder(order, adapters);
        }
        this.acceptedOrders += 1;
        void (order.kind === "load" ? this.load(order.model) : this.unload(order.model));
        return OrderReply.accepted;
    }

    public report(): EngineReport {
        return { orders: this.acceptedOrders, models: this.heldModels(), busy: this.isChangingModel };
    }

    private heldModels() {
        return [...this.models].map(([name, adapters]) => ({ ...createHeldModel(name, 0), adapters: [...adapters] }));
    }

    private handleAdapterOrder(order: EngineOrder, adapters: Set<string> | undefined): OrderReply {
        if (adapters === undefined) {
            return OrderReply.refused;
        }
        if (order.kind === "load" && adapters.has(order.adapter)) {
            return OrderReply.done;
        }
        this.acceptedOrders += 1;
        if (order.kind === "unload") {
            adapters.delete(order.adapter);
            return OrderReply.done;
        }
        setTimeout(() => adapters.add(order.adapter), adapterLoadMs);
        return OrderReply.accepted;
    }

    private async load(name: string): Promise<void> {
        const model = this.findModel(name);
        this.isChangingModel = true;
        if (this.copiesInMemory.includes(name)) {
            await sleep(model.memoryLoadMs);
        }
        else if (this.copiesOnDisk.includes(name)) {
            await sleep(model.diskLoadMs);
        }
        else {
            this.storeLoads += 1;
            await sleep(model.loadMs);
        }
        this.addModel(name);
        this.isChangingModel = false;
    }

    /** Removes a model once its active requests have finished. */
    private async unload(name: string): Promise<void> {
        this.isChangingModel = true;
        while (this.activeRequests.some(({ request }) => request.model === name)) {
            await this.requestFinished.wait(baseStepMs);
        }
        this.models.delete(name);
        this.isChangingModel = false;
    }

    private findModel(name: string): EngineModel {
        return this.spec.models.find(model => model.name === name)!;
    }

    private cacheWeights(name: string): void {
        markUsed(this.copiesInMemory, name, maxCopiesInMemory);
        markUsed(this.copiesOnDisk, name, maxCopiesOnDisk);
    }

    private async runSteps(): Promise<never> {
        for (;;) {
            const promptTokens = Math.min(
                maxPromptTokensPerStep,
                this.activeRequests.reduce((sum, { promptTokensLeft }) => sum + promptTokensLeft, 0),
            );
            await sleep(
                Math.round(
                    baseStepMs + this.activeRequests.length * stepMsPerRequest + promptTokens / prefillTokensPerMs,
                ),
            );
            this.prefill(promptTokens);
            this.decode();
        }
    }

    /** Prefills up to `tokens` prompt tokens, in order of priority. */
    private prefill(tokens: number): void {
        let budget = tokens;
        const pending = this.activeRequests.filter(active => active.promptTokensLeft > 0)
            .sort((a, b) => a.request.priority - b.request.priority);
        for (const active of pending) {
            const processed = Math.min(budget, active.promptTokensLeft);
            active.promptTokensLeft -= processed;
            budget -= processed;
            if (active.promptTokensLeft === 0) {
                active.onFirstToken();
            }
        }
    }

    private decode(): void {
        for (const active of this.activeRequests) {
            active.outputTokensLeft -= active.promptTokensLeft === 0 ? 1 : 0;
        }
        const finished = this.activeRequests.filter(({ outputTokensLeft, signal }) =>
            outputTokensLeft <= 0 || signal.aborted
        );
        this.activeRequests = this.activeRequests.filter(active => !finished.includes(active));
        finished.forEach(({ outputTokensLeft, result }) => result.resolve(outputTokensLeft <= 0 ? "done" : "dropped"));
        if (finished.length > 0) {
            this.requestFinished.notify();
        }
    }
}

/** Moves a name to the end of a list in order of use, and evicts the first one beyond the capacity. */
function markUsed(names: string[], name: string, capacity: number): void {
    const index = names.indexOf(name);
    if (index !== -1) {
        names.splice(index, 1);
    }
    names.push(name);
    if (names.length > capacity) {
        names.shift();
    }
}
