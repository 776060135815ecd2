/**
 * A model engine, as simply as will do: in each step it reads a piece of the
 * prompts that wait, in order of urgency, and gives each request that it has
 * read a token. It holds models in a bounded memory, and loads them at three
 * speeds.
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
import { type Draws } from "./draws.js";

/** A step of an engine that runs little, in milliseconds, as the users give it. */
const stepMs = 9;
/** What each running request adds to a step, in milliseconds: an engine of 64 places runs at half its pace when full. */
const stepMsPerRunning = 0.14;
/**
 * Tokens of prompts that a step reads at most. Streams of engines that read all the time were seen to
 * get a token in 130 ms: 9 ms and this.
 */
const tokensPerStep = 2048;
/** Tokens of prompts that an engine reads in a millisecond, as the users give it. */
const readTokensPerMs = 19;
/** An adapter takes this long, in milliseconds: the middle of what the users give. */
const adapterMs = 12;
/** Copies of models that a host keeps, in memory and on disk. */
const copiesInMemory = 2;
const copiesOnDisk = 6;

/** What an engine is asked to do. */
export interface EngineWork {
    readonly model: string;
    readonly adapter: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/** How a request ended at an engine. */
export type EngineEnd = "done" | "failed" | "full" | "lacking" | "dropped";

interface Run {
    readonly work: EngineWork;
    readonly signal: AbortSignal;
    readonly onFirst: () => void;
    readonly done: Deferred<EngineEnd>;
    unread: number;
    left: number;
}

/** A rate that an engine names in its answers for some time. */
export interface NamedRate {
    /** Requests that it takes from all entries together. */
    readonly perSecond: number;
    /** Simulated times. */
    readonly from: number;
    readonly until: number;
}

export class SimulatedEngine {
    /** Share of its requests that it fails as they begin. */
    public failingShare = 0;
    /** The rate that its answers name. */
    public named: NamedRate | undefined;
    /** Times at which requests have reached it. */
    public readonly arrivals: number[] = [];
    public readonly copiesInMemory: string[] = [];
    public readonly copiesOnDisk: string[] = [];
    /** Requests that it has begun. */
    public begun = 0;
    /** Loads from the weight store. */
    public storeLoads = 0;
    private readonly models = new Map<string, Set<string>>();
    private runs: Run[] = [];
    private accepted = 0;
    private busy = false;
    private sequence = 0;
    private readonly ended = new Notifier();

    public constructor(
        public readonly id: string,
        public readonly dataCentre: string,
        private readonly spec: EngineSpec,
        private readonly draws: Draws,
    ) {
        void this.step();
    }

    /** Places a model there, as at the start of a day. */
    public place(model: string): void {
        this.models.set(model, new Set());
        this.copy(model);
    }

    public get held(): readonly string[] {
        return [...this.models.keys()];
    }

    public get running(): number {
        return this.runs.length;
    }

    /** Requests a second that its answers name now; undefined where they name no rate. */
    public get limitPerSecond(): number | undefined {
        const now = Date.now();
        return this.named !== undefined && now >= this.named.from && now < this.named.until
            ? this.named.perSecond
            : undefined;
    }

    /** Whether one more model of that size fits. */
    public fits(model: EngineModel): boolean {
        const usedMb = [...this.models.keys()].reduce((sum, name) => sum + this.modelOf(name).sizeMb, 0);
        return usedMb + model.sizeMb <= this.spec.memoryMb;
    }

    /** What it tells of itself. */
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

    /** Runs a request to its end, or until the signal is aborted. */
    public async run(work: EngineWork, signal: AbortSignal, onFirst: () => void): Promise<EngineEnd> {
        this.arrivals.push(Date.now());
        const held = this.models.get(work.model);
        if (held === undefined || (work.adapter !== "" && !held.has(work.adapter))) {
            return "lacking";
        }
        if (this.runs.length >= this.spec.slots) {
            return "full";
        }
        this.begun += 1;
        if (this.draws.share() < this.failingShare) {
            return "failed";
        }
        const run = {
            work,
            signal,
            onFirst,
            done: new Deferred<EngineEnd>(),
            unread: work.promptTokens,
            left: work.outputTokens,
        };
        this.runs.push(run);
        return run.done.promise;
    }

    public order(order: EngineOrder, expected: number): OrderReply {
        const adapters = this.models.get(order.model);
        if (order.adapter === "" && (adapters !== undefined) === (order.kind === "load") && !this.busy) {
            return OrderReply.done;
        }
        if (this.busy || expected !== this.accepted) {
            return OrderReply.conflict;
        }
        if (order.adapter !== "") {
            return this.orderAdapter(order, adapters);
        }
        this.accepted += 1;
        void (order.kind === "load" ? this.load(order.model) : this.unload(order.model));
        return OrderReply.accepted;
    }

    public report(): EngineReport {
        return { orders: this.accepted, models: this.heldModels(), busy: this.busy };
    }

    private heldModels() {
        return [...this.models].map(([name, adapters]) => ({ ...createHeldModel(name, 0), adapters: [...adapters] }));
    }

    private orderAdapter(order: EngineOrder, adapters: Set<string> | undefined): OrderReply {
        if (adapters === undefined) {
            return OrderReply.refused;
        }
        if (order.kind === "load" && adapters.has(order.adapter)) {
            return OrderReply.done;
        }
        this.accepted += 1;
        if (order.kind === "unload") {
            adapters.delete(order.adapter);
            return OrderReply.done;
        }
        setTimeout(() => adapters.add(order.adapter), adapterMs);
        return OrderReply.accepted;
    }

    private async load(name: string): Promise<void> {
        const model = this.modelOf(name);
        this.busy = true;
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
        this.place(name);
        this.busy = false;
    }

    /** Waits for the model's requests, and drops it. */
    private async unload(name: string): Promise<void> {
        this.busy = true;
        while (this.runs.some(({ work }) => work.model === name)) {
            await this.ended.wait(stepMs);
        }
        this.models.delete(name);
        this.busy = false;
    }

    private modelOf(name: string): EngineModel {
        return this.spec.models.find(model => model.name === name)!;
    }

    private copy(name: string): void {
        remember(this.copiesInMemory, name, copiesInMemory);
        remember(this.copiesOnDisk, name, copiesOnDisk);
    }

    private async step(): Promise<never> {
        for (;;) {
            const tokens = Math.min(tokensPerStep, this.runs.reduce((sum, { unread }) => sum + unread, 0));
            await sleep(Math.round(stepMs + this.runs.length * stepMsPerRunning + tokens / readTokensPerMs));
            this.read(tokens);
            this.generate();
        }
    }

    /** Of those that are cut meanwhile nothing more is read. */
    private read(tokens: number): void {
        let budget = tokens;
        const unread = this.runs.filter(run => run.unread > 0)
            .sort((a, b) => a.work.priority - b.work.priority);
        for (const run of unread) {
            const part = Math.min(budget, run.unread);
            run.unread -= part;
            budget -= part;
            if (run.unread === 0) {
                run.onFirst();
            }
        }
    }

    private generate(): void {
        for (const run of this.runs) {
            run.left -= run.unread === 0 ? 1 : 0;
        }
        const over = this.runs.filter(({ left, signal }) => left <= 0 || signal.aborted);
        this.runs = this.runs.filter(run => !over.includes(run));
        over.forEach(({ left, done }) => done.resolve(left <= 0 ? "done" : "dropped"));
        if (over.length > 0) {
            this.ended.notify();
        }
    }
}

/** The newest last; the oldest goes beyond so many. */
function remember(names: string[], name: string, most: number): void {
    const index = names.indexOf(name);
    if (index !== -1) {
        names.splice(index, 1);
    }
    names.push(name);
    if (names.length > most) {
        names.shift();
    }
}
