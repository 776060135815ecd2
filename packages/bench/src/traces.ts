/** Seeded traces of demand, and the fleets of the two deployments at today's sizes. */

/** A small generator with a seed (mulberry32): the same numbers on every machine. */
export class SeededRandom {
    public constructor(private state: number) {}

    /** From 0 up to, but not including, 1. */
    public next(): number {
        this.state = (this.state + 0x6d2b79f5) | 0;
        let value = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state);
        value = (value + Math.imul(value ^ (value >>> 7), 61 | value)) ^ value;
        return ((value ^ (value >>> 14)) >>> 0) / 2 ** 32;
    }

    /** Time to the next of events that come `rate` a second at random, in milliseconds. */
    public gap(rate: number): number {
        return -Math.log(1 - this.next()) * 1000 / rate;
    }
}

/** One of the two deployments. */
export interface Fleet {
    readonly name: string;
    readonly models: number;
    readonly adapters: number;
    readonly workers: number;
    readonly storeRate: number;
    readonly storeConcurrency: number;
    /** Price of a move in `[placement]`. */
    readonly moveCost: number;
    /** Mean requests a second over all models. */
    readonly rate: number;
    /** One way between data centres, in milliseconds. */
    readonly distanceMs: number;
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
        distanceMs: 0.5,
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
        distanceMs: 0.9,
    },
];

/** A request of the trace. */
export interface TraceRequest {
    /** Milliseconds from the start. */
    readonly at: number;
    /** Name of the model or adapter. */
    readonly target: string;
    readonly model: string;
    readonly tokens: number;
    /** Which prompt's beginning it shares. */
    readonly prefix: number;
}

export interface TraceModel {
    readonly name: string;
    readonly gibibytes: number;
    readonly adapters: string[];
}

/** Something that is done to the fleet at a time. */
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

/** Demand by a power law over the models, with bursts of ten times the usual without warning. */
export function makeTrace(fleet: Fleet, durationMs: number, seed: number): Trace {
    const random = new SeededRandom(seed);
    const models = makeModels(fleet, random);
    const weights = models.map((_, rank) => 1 / (rank + 1) ** zipfExponent);
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    const requests = models.flatMap((model, rank) =>
        requestsOf(model, fleet.rate * weights[rank] / total, durationMs, random)
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

function makeModels(fleet: Fleet, random: SeededRandom): TraceModel[] {
    const models = Array.from({ length: fleet.models }, (_, index) => ({
        name: `m${String(index).padStart(2, "0")}`,
        gibibytes: 2 + Math.floor(random.next() * 5),
        adapters: [] as string[],
    }));
    for (let number = 0; number < fleet.adapters; number++) {
        const model = models[Math.floor(random.next() * models.length)];
        model.adapters.push(`${model.name}-a${number}`);
    }
    // The order of the names says nothing about the demand.
    return models.sort(() => random.next() - 0.5);
}

function requestsOf(model: TraceModel, rate: number, durationMs: number, random: SeededRandom): TraceRequest[] {
    const requests: TraceRequest[] = [];
    const burstAt = random.next() * durationMs * 3;
    for (let at = random.gap(rate); at < durationMs;) {
        const inBurst = at >= burstAt && at < burstAt + burstMs;
        const targets = [model.name, ...model.adapters];
        requests.push({
            at,
            target: targets[Math.floor(random.next() * targets.length)],
            model: model.name,
            tokens: 10 + Math.floor(random.next() * 60),
            prefix: Math.floor(random.next() * prefixesPerModel),
        });
        at += random.gap(rate * (inBurst ? burstFactor : 1));
    }
    return requests;
}
