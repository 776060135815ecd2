/** In-memory engines with simulated load times, slowdown under concurrency and a prefix cache. */
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
const prefixCacheSize = 16;
const tokenMs = 14;
const chunksPerResponse = 4;
const loadMs = 3000;
const unloadMs = 300;
const reportLagMs = 500;

export interface EngineSpec {
    readonly name: string;
    readonly dataCentre: string;
    readonly gibibytes: number;
    /** Accelerator speed relative to the baseline. */
    readonly speed: number;
}

export class SimulatedEngine {
    public isAlive = true;
    /** Number of load and unload orders received. */
    public moves = 0;
    private incarnation = 1;
    private sequence = 0n;
    private settled = { term: 0n, index: 0n };
    private running = 0;
    private residents = new Map<string, { bytes: bigint; ready: boolean; }>();
    private cachedPrefixes: string[] = [];
    private loadHistory: { at: number; running: number; }[] = [];

    public constructor(public readonly spec: EngineSpec) {}

    public get url(): string {
        return this.spec.name;
    }

    /** Simulates the loss of the host: drops all loaded models and the prefix cache. */
    public crash(): void {
        this.isAlive = false;
        this.residents = new Map();
        this.cachedPrefixes = [];
    }

    public recover(): void {
        this.isAlive = true;
        this.incarnation += 1;
        this.running = 0;
    }

    public buildReport(): MessageInitShape<typeof ReportRequestSchema> {
        this.sequence += 1n;
        const reportedRunning = this.loadHistory.findLast(({ at }) => at <= Date.now() - reportLagMs)?.running ?? 0;
        this.loadHistory = this.loadHistory.slice(-2000);
        const { name, dataCentre, gibibytes, speed } = this.spec;
        return {
            upstream: name,
            incarnation: `${this.incarnation}`,
            url: name,
            dataCentre,
            service: "engine",
            accelerators: [{ name: "a0", memoryBytes: BigInt(gibibytes) * 2n ** 30n, speed }],
            settled: this.settled,
            stateKnown: true,
            residents: [...this.residents].map(([item, { bytes, ready }]) => ({
                accelerator: "a0",
                item,
                bytes,
                ready,
            })),
            load: { running: reportedRunning, waiting: 0, capacity },
            loadAgeMs: reportLagMs,
            sequence: this.sequence,
        };
    }

    /** Acknowledges an order immediately; the load or unload completes later. */
    public receiveOrder({ kind, item, bytes, fence }: OrderRequest): OrderOutcome {
        this.settled = { term: fence!.term, index: fence!.index };
        if (kind === OrderKind.LOAD) {
            this.moves += 1;
            const resident = { bytes, ready: false };
            this.residents.set(item, resident);
            void sleep(loadMs).then(() => resident.ready = true);
        }
        else if (kind === OrderKind.UNLOAD) {
            this.moves += 1;
            const held = this.residents.get(item);
            if (held !== undefined) {
                held.ready = false;
                void sleep(unloadMs).then(() => this.residents.delete(item));
            }
        }
        return OrderOutcome.TAKEN;
    }

    public client(networkDelayMs: number): AgentClient {
        return {
            run: (req, signal) => this.run(req, signal, networkDelayMs),
            fence: async () => {
                if (!this.isAlive) {
                    throw new Error("lost");
                }
                return FenceOutcome.BROKEN;
            },
            cancel: async () => undefined,
        };
    }

    private async *run(req: RunRequest, signal: AbortSignal, networkDelayMs: number): AsyncGenerator<RunChunk> {
        const { incarnation } = this;
        const { model, tokens, prefix } = JSON.parse(Buffer.from(req.body).toString()) as {
            model: string;
            tokens: number;
            prefix: string;
        };
        if (!this.isAlive) {
            throw new Error("lost");
        }
        if (this.residents.get(model)?.ready !== true) {
            yield refusedChunk({ refusal: Refusal.NOT_RESIDENT, message: "" });
            return;
        }
        this.adjustRunning(1);
        try {
            await sleep(this.scaleByLoad(this.cachePrefix(prefix)) + networkDelayMs * 2, signal);
            yield create(RunChunkSchema, {
                head: { $typeName: "winchpath.upstream.v1.RunHead", status: 200, headers: [] },
            });
            for (let index = 0; index < chunksPerResponse; index++) {
                await sleep(this.scaleByLoad(tokenMs * tokens / chunksPerResponse), signal);
                if (!this.isAlive || this.incarnation !== incarnation || signal.aborted) {
                    throw new Error("lost");
                }
                yield create(RunChunkSchema, { body: Buffer.from("x") });
            }
            yield create(RunChunkSchema, {
                end: { $typeName: "winchpath.upstream.v1.RunEnd", bodyBytes: BigInt(chunksPerResponse) },
            });
        }
        finally {
            if (this.incarnation === incarnation) {
                this.adjustRunning(-1);
            }
        }
    }

    private adjustRunning(by: number): void {
        this.running += by;
        this.loadHistory.push({ at: Date.now(), running: this.running });
    }

    private cachePrefix(prefix: string): number {
        const isCached = this.cachedPrefixes.includes(prefix);
        this.cachedPrefixes = [...this.cachedPrefixes.filter(other => other !== prefix), prefix].slice(
            -prefixCacheSize,
        );
        return isCached ? cachedPrefillMs : prefillMs;
    }

    private scaleByLoad(ms: number): number {
        return ms * Math.max(1, this.running / (capacity * this.spec.speed)) / Math.min(1.5, this.spec.speed);
    }
}
