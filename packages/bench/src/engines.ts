/** Engines in memory on the paused clock: they load, slow down under load, and cache prompts. */
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { sleep } from "@winchpath/core";
import { type AgentClient } from "@winchpath/requests";
import {
    FenceOutcome,
    OrderKind,
    OrderOutcome,
    type OrderRequest,
    Refusal,
    refusedChunk,
    ReportRequestSchema,
    type RunChunk,
    RunChunkSchema,
    type RunRequest,
} from "@winchpath/upstream";

const capacity = 8;
const prefillMs = 180;
const cachedPrefillMs = 40;
const cachedPrefixes = 16;
const tokenMs = 14;
/** Pieces in which an answer comes. */
const pieces = 4;
const loadMs = 3000;
const unloadMs = 300;
const reportLagMs = 500;

export interface EngineShape {
    readonly name: string;
    readonly dataCentre: string;
    readonly gibibytes: number;
    /** Relative speed of the card. */
    readonly speed: number;
}

export class MeasuredEngine {
    public alive = true;
    /** Loads and unloads that were ordered. */
    public moves = 0;
    private incarnation = 1;
    private sequence = 0n;
    private settled = { term: 0n, index: 0n };
    private running = 0;
    private held = new Map<string, { bytes: bigint; ready: boolean; }>();
    private prefixes: string[] = [];
    private history: { at: number; running: number; }[] = [];

    public constructor(public readonly shape: EngineShape) {}

    public get url(): string {
        return this.shape.name;
    }

    /** The host is lost, with all that it held. */
    public lose(): void {
        this.alive = false;
        this.held = new Map();
        this.prefixes = [];
    }

    public comeBack(): void {
        this.alive = true;
        this.incarnation += 1;
        this.running = 0;
    }

    public report(): MessageInitShape<typeof ReportRequestSchema> {
        this.sequence += 1n;
        const seen = this.history.findLast(({ at }) => at <= Date.now() - reportLagMs)?.running ?? 0;
        this.history = this.history.slice(-2000);
        const { name, dataCentre, gibibytes, speed } = this.shape;
        return {
            upstream: name,
            incarnation: `${this.incarnation}`,
            url: name,
            dataCentre,
            service: "engine",
            accelerators: [{ name: "a0", memoryBytes: BigInt(gibibytes) * 2n ** 30n, speed }],
            settled: this.settled,
            stateKnown: true,
            residents: [...this.held].map(([item, { bytes, ready }]) => ({ accelerator: "a0", item, bytes, ready })),
            load: { running: seen, waiting: 0, capacity },
            loadAgeMs: reportLagMs,
            sequence: this.sequence,
        };
    }

    /** Takes an order at once; its effect comes later. */
    public order({ kind, item, bytes, fence }: OrderRequest): OrderOutcome {
        this.settled = { term: fence!.term, index: fence!.index };
        if (kind === OrderKind.LOAD) {
            this.moves += 1;
            const held = { bytes, ready: false };
            this.held.set(item, held);
            void sleep(loadMs).then(() => held.ready = true);
        }
        else if (kind === OrderKind.UNLOAD) {
            this.moves += 1;
            const held = this.held.get(item);
            if (held !== undefined) {
                held.ready = false;
                void sleep(unloadMs).then(() => this.held.delete(item));
            }
        }
        return OrderOutcome.TAKEN;
    }

    public client(distanceMs: number): AgentClient {
        return {
            run: (req, signal) => this.run(req, signal, distanceMs),
            fence: async () => {
                if (!this.alive) {
                    throw new Error("lost");
                }
                return FenceOutcome.BROKEN;
            },
            cancel: async () => undefined,
        };
    }

    private async *run(req: RunRequest, signal: AbortSignal, distanceMs: number): AsyncGenerator<RunChunk> {
        const { incarnation } = this;
        const { model, tokens, prefix } = JSON.parse(Buffer.from(req.body).toString()) as {
            model: string;
            tokens: number;
            prefix: string;
        };
        if (!this.alive) {
            throw new Error("lost");
        }
        if (this.held.get(model)?.ready !== true) {
            yield refusedChunk({ refusal: Refusal.NOT_RESIDENT, message: "" });
            return;
        }
        this.change(1);
        try {
            await sleep(this.slowed(this.takePrefill(prefix)) + distanceMs * 2, signal);
            yield create(RunChunkSchema, {
                head: { $typeName: "winchpath.upstream.v1.RunHead", status: 200, headers: [] },
            });
            for (let piece = 0; piece < pieces; piece++) {
                await sleep(this.slowed(tokenMs * tokens / pieces), signal);
                if (!this.alive || this.incarnation !== incarnation || signal.aborted) {
                    throw new Error("lost");
                }
                yield create(RunChunkSchema, { body: Buffer.from("x") });
            }
            yield create(RunChunkSchema, {
                end: { $typeName: "winchpath.upstream.v1.RunEnd", bodyBytes: BigInt(pieces) },
            });
        }
        finally {
            if (this.incarnation === incarnation) {
                this.change(-1);
            }
        }
    }

    private change(by: number): void {
        this.running += by;
        this.history.push({ at: Date.now(), running: this.running });
    }

    private takePrefill(prefix: string): number {
        const known = this.prefixes.includes(prefix);
        this.prefixes = [...this.prefixes.filter(other => other !== prefix), prefix].slice(-cachedPrefixes);
        return known ? cachedPrefillMs : prefillMs;
    }

    private slowed(ms: number): number {
        return ms * Math.max(1, this.running / (capacity * this.shape.speed)) / Math.min(1.5, this.shape.speed);
    }
}
