/** Entries that send requests to plain upstreams of uneven pace, on a simulated clock. */
import { create } from "@bufbuild/protobuf";
import { UpstreamSchema, UpstreamState } from "@winchpath/fleet";
import { type InboundRequest, PlainServiceCost, type SelectionCost, UpstreamEndpoint } from "@winchpath/forwarding";
import { PaceTable } from "@winchpath/routing";
import { mock } from "node:test";
import { SeededRandom } from "../seededrandoms.js";
import { PacedUpstream } from "./pacedupstreams.js";

const service = "plain";
/** One-way latency between an entry and an upstream. */
const latencyMs = 1;
const startTimeMs = 1_000_000;

export interface UnevenScenario {
    readonly name: string;
    readonly entries: number;
    readonly upstreams: number;
    readonly slots: number;
    readonly workMs: number;
    readonly objectiveMs: number;
    /** Offered load as a share of what all upstreams complete at the usual pace. */
    readonly utilization: number;
    readonly durationMs: number;
    /** Additional age of the reports when entries apply them, in milliseconds; 0 by default. */
    readonly viewAgeMs?: number;
    /** Changes the upstreams at a time in milliseconds since the start; called every millisecond. */
    change(upstreams: readonly PacedUpstream[], atMs: number, random: SeededRandom): void;
}

/** What one entry knows. */
export interface EntryState {
    readonly endpoints: readonly UpstreamEndpoint[];
    readonly paces: PaceTable;
    readonly cost: SelectionCost;
    readonly random: SeededRandom;
}

/** How an entry selects an upstream. */
export interface UnevenPolicy {
    /** Half-life of a reported pace, in milliseconds; 0 ignores reports. */
    readonly halfLifeMs: number;
    select(request: InboundRequest, entry: EntryState): UpstreamEndpoint;
}

export interface UnevenResult {
    readonly requests: number;
    /** Share of the requests that completed within the objective. */
    readonly inTime: number;
    /** Share of the requests that the busiest upstream received. */
    readonly busiest: number;
    /** Mean of the largest difference of requests at two upstreams, in slots. */
    readonly imbalance: number;
}

/** Runs a scenario on mocked time; requests that don't complete count as late. */
export function runUnevenScenario(scenario: UnevenScenario, policy: UnevenPolicy, seed: number): UnevenResult {
    mock.timers.enable({ apis: ["Date"], now: startTimeMs });
    try {
        return new UnevenSimulation(scenario, policy, new SeededRandom(seed)).run();
    }
    finally {
        mock.timers.reset();
    }
}

class UnevenSimulation {
    private readonly upstreams: readonly PacedUpstream[];
    private readonly entries: readonly EntryState[];
    /** Callbacks by the time at which they are due. */
    private readonly due = new Map<number, (() => void)[]>();
    private now = 0;
    private requests = 0;
    private inTime = 0;
    private imbalance = 0;

    public constructor(
        private readonly scenario: UnevenScenario,
        private readonly policy: UnevenPolicy,
        private readonly random: SeededRandom,
    ) {
        this.upstreams = Array.from(
            { length: scenario.upstreams },
            (_, index) => new PacedUpstream(`u${index}`, scenario.slots),
        );
        this.entries = Array.from({ length: scenario.entries }, () => this.createEntry());
    }

    public run(): UnevenResult {
        const { scenario, upstreams } = this;
        const perMs = scenario.utilization * scenario.upstreams * scenario.slots / scenario.workMs;
        let nextAt = this.random.exponentialDelayMs(perMs * 1000);
        for (; this.now < scenario.durationMs; this.now++) {
            mock.timers.setTime(startTimeMs + this.now);
            scenario.change(upstreams, this.now, this.random);
            this.due.get(this.now)?.forEach(callback => callback());
            this.due.delete(this.now);
            for (; nextAt <= this.now; nextAt += this.random.exponentialDelayMs(perMs * 1000)) {
                this.arrive();
            }
            upstreams.forEach(upstream => upstream.step());
            const loads = upstreams.map(({ load }) => load.running + load.waiting);
            this.imbalance += (Math.max(...loads) - Math.min(...loads)) / scenario.slots;
        }
        const received = upstreams.map(upstream => upstream.received);
        return {
            requests: this.requests,
            inTime: this.inTime / this.requests,
            busiest: Math.max(...received) / this.requests,
            imbalance: this.imbalance / scenario.durationMs,
        };
    }

    private createEntry(): EntryState {
        const endpoints = this.upstreams.map(({ id, slots }) => {
            const description = { id, name: id, service, slots, dataCentre: "d", state: UpstreamState.READY };
            return new UpstreamEndpoint(create(UpstreamSchema, description), 1);
        });
        const paces = new PaceTable(Math.max(1, this.policy.halfLifeMs));
        const cost = new PlainServiceCost("d", {
            entries: this.scenario.entries,
            isPaceReported: () => true,
            pace: (name, { id, unansweredSince }) => paces.pace(name, id, unansweredMs(unansweredSince)),
        });
        return { endpoints, paces, cost, random: this.random };
    }

    private arrive(): void {
        this.requests += 1;
        const startedAt = this.now;
        const entry = this.entries[this.random.integerBelow(this.entries.length)];
        const request = { service, body: { length: 0 } } as InboundRequest;
        const endpoint = this.policy.select(request, entry);
        const tracked = endpoint.track(1, 0, 0);
        const upstream = this.upstreams.find(({ id }) => id === endpoint.id)!;
        this.after(latencyMs, () =>
            upstream.run(this.scenario.workMs, () => {
                const { load } = upstream;
                this.after(latencyMs + (this.scenario.viewAgeMs ?? 0), () => {
                    endpoint.updateReportedLoad(load);
                    if (this.policy.halfLifeMs > 0) {
                        entry.paces.report(endpoint.id, load.durationPercent);
                    }
                });
                this.after(latencyMs, () => {
                    tracked.finish();
                    entry.paces.observe(service, endpoint.id, this.now - startedAt);
                    this.inTime += this.now - startedAt <= this.scenario.objectiveMs ? 1 : 0;
                });
            }));
    }

    private after(ms: number, callback: () => void): void {
        const at = this.now + ms;
        this.due.set(at, [...this.due.get(at) ?? [], callback]);
    }
}

function unansweredMs(since: number | undefined): number {
    return since === undefined ? 0 : Date.now() - since;
}
