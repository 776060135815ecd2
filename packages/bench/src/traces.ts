/** Seeded request traces, and the two reference fleets. */

/** Deterministic pseudo-random number generator (mulberry32). */
export class SeededRandom {
    public constructor(private state: number) {}

    /** Returns a number in [0, 1). */
    public next(): number {
        this.state = (this.state + 0x6d2b79f5) | 0;
        let value = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state);
        value = (value + Math.imul(value ^ (value >>> 7), 61 | value)) ^ value;
        return ((value ^ (value >>> 14)) >>> 0) / 2 ** 32;
    }

    /** Milliseconds until the next event of a Poisson process with `rate` events per second. */
    public nextIntervalMs(rate: number): number {
        return -Math.log(1 - this.next()) * 1000 / rate;
    }
}

/** Size, settings and load of a simulated deployment. */
export interface Fleet {
    readonly name: string;
    readonly models: number;
    readonly adapters: number;
    readonly workers: number;
    readonly storeRate: number;
    readonly storeConcurrency: number;
    /** `moveCost` of the `[placement]` settings. */
    readonly moveCost: number;
    /** Mean requests per second over all models, outside bursts. */
    readonly rate: number;
    /** One-way network delay between data centres, in milliseconds. */
    readonly networkDelayMs: number;
}

export const fleets: readonly Fleet[] = [
    {
        name: "fibre-commune",
        models: 26,
        adapters: 64,
        workers: 8,
        storeRate: 1.4,
        storeConcurrency: 15,
        moveCost: 0.6,
        rate: 45,
        networkDelayMs: 0.5,
    },
    {
        name: "adumasa",
        models: 39,
        adapters: 95,
        workers: 13,
        storeRate: 2,
        storeConcurrency: 17,
        moveCost: 0.2,
        rate: 75,
        networkDelayMs: 0.9,
    },
];

export interface TraceRequest {
    /** Milliseconds since the start of the trace. */
    readonly at: number;
    /** Name of the requested model or adapter. */
    readonly target: string;
    readonly model: string;
    readonly tokens: number;
    /** Index of the prompt prefix, shared with other requests for the model. */
    readonly prefix: number;
}

export interface TraceModel {
    readonly name: string;
    readonly gibibytes: number;
    readonly adapters: string[];
}

/** A fault or a rollout that is applied to the fleet during the trace. */
export interface TraceEvent {
    readonly at: number;
    readonly kind: "lose-worker" | "return-worker" | "lose-data-centre" | "return-data-centre" | "roll-version";
}

export interface Trace {
    readonly models: readonly TraceModel[];
    readonly requests: readonly TraceRequest[];
    readonly events: readonly TraceEvent[];
    readonly durationMs: number;
}

const zipfExponent = 0.9;
const burstFactor = 10;
const burstMs = 25_000;
const prefixesPerModel = 6;

/** Generates Poisson arrivals with Zipf-distributed model popularity and a burst for some models. */
export function generateTrace(fleet: Fleet, durationMs: number, seed: number): Trace {
    const random = new SeededRandom(seed);
    const models = generateModels(fleet, random);
    const weights = models.map((_, rank) => 1 / (rank + 1) ** zipfExponent);
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    const requests = models.flatMap((model, rank) =>
        generateRequests(model, fleet.rate * weights[rank] / total, durationMs, random)
    );
    requests.sort((a, b) => a.at - b.at);
    const events: TraceEvent[] = [
        { at: durationMs * 0.3, kind: "lose-worker" },
        { at: durationMs * 0.45, kind: "return-worker" },
        { at: durationMs * 0.55, kind: "roll-version" },
        { at: durationMs * 0.7, kind: "lose-data-centre" },
        { at: durationMs * 0.8, kind: "return-data-centre" },
    ];
    return { models, requests, events, durationMs };
}

function generateModels(fleet: Fleet, random: SeededRandom): TraceModel[] {
    const models = Array.from({ length: fleet.models }, (_, index) => ({
        name: `m${String(index).padStart(2, "0")}`,
        gibibytes: 2 + Math.floor(random.next() * 5),
        adapters: [] as string[],
    }));
    for (let number = 0; number < fleet.adapters; number++) {
        const model = models[Math.floor(random.next() * models.length)];
        model.adapters.push(`${model.name}-a${number}`);
    }
    // Shuffled, so that popularity is unrelated to name order.
    return models.sort(() => random.next() - 0.5);
}

function generateRequests(model: TraceModel, rate: number, durationMs: number, random: SeededRandom): TraceRequest[] {
    const requests: TraceRequest[] = [];
    const burstAt = random.next() * durationMs * 3;
    for (let at = random.nextIntervalMs(rate); at < durationMs;) {
        const inBurst = at >= burstAt && at < burstAt + burstMs;
        const targets = [model.name, ...model.adapters];
        requests.push({
            at,
            target: targets[Math.floor(random.next() * targets.length)],
            model: model.name,
            tokens: 10 + Math.floor(random.next() * 60),
            prefix: Math.floor(random.next() * prefixesPerModel),
        });
        at += random.nextIntervalMs(rate * (inBurst ? burstFactor : 1));
    }
    return requests;
}
