/** Entries that send requests to plain upstreams of which some fail a part of their requests, on a simulated clock. */
import { create } from "@bufbuild/protobuf";
import { AvailabilityTracker } from "@winchpath/availability";
import { type Route } from "@winchpath/declarations";
import { OutlierDetector, type Upstream, UpstreamSchema, UpstreamState } from "@winchpath/fleet";
import {
    type InboundRequest,
    SelectionCosts,
    ThroughputTable,
    UpstreamEndpoint,
    UpstreamSelector,
} from "@winchpath/forwarding";
import { EjectionTracker } from "@winchpath/routing";
import { mock } from "node:test";
import { SeededRandom } from "../seededrandoms.js";
import { PacedUpstream } from "./pacedupstreams.js";

const startTimeMs = 1_000_000;
const latencyMs = 1;
/** Time until a failure that an entry reports changes what all entries know, in milliseconds. */
const reportDelayMs = 10;
const evaluationIntervalMs = 500;
/** Share of requests that can be repeated. */
const safeShare = 0.3;
const maxAttempts = 2;

export interface FailingScenario {
    readonly entries: number;
    readonly upstreams: number;
    /** Upstreams that fail; the first ones. */
    readonly failing: number;
    readonly failureRate: number;
    readonly slots: number;
    readonly workMs: number;
    /** Offered load as a share of what all upstreams complete. */
    readonly utilization: number;
    readonly durationMs: number;
}

/** How the failure rates that the detector publishes affect the selection. */
export type FailureHandling = "ignored" | "gate" | "weight";

export interface FailingResult {
    /** Share of the requests that failed at their last attempt. */
    readonly lost: number;
    /** Largest share of all requests in a second that one upstream received, as a mean over the seconds. */
    readonly busiest: number;
    /** Share of the time at which a healthy upstream had more requests than slots. */
    readonly overloaded: number;
}

/** Runs a scenario on mocked time. */
export function runFailingScenario(scenario: FailingScenario, handling: FailureHandling, seed: number): FailingResult {
    mock.timers.enable({ apis: ["Date"], now: startTimeMs });
    try {
        return new FailingSimulation(scenario, handling, new SeededRandom(seed)).run();
    }
    finally {
        mock.timers.reset();
    }
}

interface Entry {
    readonly endpoints: readonly UpstreamEndpoint[];
    readonly selector: UpstreamSelector;
    readonly ejections: EjectionTracker;
}

class FailingSimulation {
    private readonly upstreams: readonly PacedUpstream[];
    private readonly entries: readonly Entry[];
    private readonly detector = new OutlierDetector();
    private readonly due = new Map<number, (() => void)[]>();
    private now = 0;
    private requests = 0;
    private lost = 0;
    private overloadedMs = 0;
    private readonly busiestShares: number[] = [];

    public constructor(
        private readonly scenario: FailingScenario,
        private readonly handling: FailureHandling,
        private readonly random: SeededRandom,
    ) {
        this.upstreams = Array.from(
            { length: scenario.upstreams },
            (_, index) => new PacedUpstream(`u${index}`, scenario.slots),
        );
        this.entries = Array.from({ length: scenario.entries }, () => this.createEntry());
    }

    public run(): FailingResult {
        const { scenario, upstreams } = this;
        const perSecond = 1000 * scenario.utilization * scenario.upstreams * scenario.slots / scenario.workMs;
        let nextAt = this.random.exponentialDelayMs(perSecond);
        let before = upstreams.map(({ received }) => received);
        for (; this.now < scenario.durationMs; this.now++) {
            mock.timers.setTime(startTimeMs + this.now);
            this.due.get(this.now)?.forEach(callback => callback());
            this.due.delete(this.now);
            for (; nextAt <= this.now; nextAt += this.random.exponentialDelayMs(perSecond)) {
                this.arrive();
            }
            upstreams.forEach(upstream => upstream.step());
            if (this.now % evaluationIntervalMs === 0) {
                this.publish();
            }
            const healthy = upstreams.slice(scenario.failing);
            this.overloadedMs += healthy.some(({ load, slots }) => load.running + load.waiting > slots) ? 1 : 0;
            if (this.now % 1000 === 999) {
                const received = upstreams.map((upstream, index) => upstream.received - before[index]);
                before = upstreams.map(upstream => upstream.received);
                this.busiestShares.push(Math.max(...received) / received.reduce((sum, count) => sum + count, 0));
            }
        }
        return {
            lost: this.lost / this.requests,
            busiest: this.busiestShares.reduce((sum, share) => sum + share, 0) / this.busiestShares.length,
            overloaded: this.overloadedMs / scenario.durationMs,
        };
    }

    private createEntry(): Entry {
        const endpoints = this.upstreams.map(({ id }) => new UpstreamEndpoint(this.describe(id, 0), 1));
        const ejections = new EjectionTracker();
        const costs = new SelectionCosts("d", new ThroughputTable());
        const selector = new UpstreamSelector(
            ejections,
            new AvailabilityTracker(),
            costs,
            () => this.random.uniform(),
        );
        return { endpoints, selector, ejections };
    }

    private describe(id: string, failingPercent: number): Upstream {
        const { slots } = this.scenario;
        const state = UpstreamState.READY;
        return create(UpstreamSchema, { id, name: id, service: "s", slots, dataCentre: "d", state, failingPercent });
    }

    private publish(): void {
        const rates = this.detector.ejectOutliers(this.upstreams.map(({ id }) => id));
        const percents = new Map([...rates].map(([id, rate]) => [id, this.publishedPercent(rate)]));
        this.entries.forEach(({ endpoints }) =>
            endpoints.forEach(endpoint => {
                const percent = percents.get(endpoint.id)!;
                if (endpoint.description.failingPercent !== percent) {
                    endpoint.update(this.describe(endpoint.id, percent));
                }
            })
        );
    }

    private publishedPercent(rate: number): number {
        switch (this.handling) {
            case "ignored":
                return 0;
            case "gate":
                return rate > 0 ? 100 : 0;
            case "weight":
                return Math.round(rate * 100);
        }
    }

    private arrive(): void {
        this.requests += 1;
        const kind: Route["kind"] = this.random.uniform() < safeShare ? "safe" : "unsafe";
        const request = {
            id: "q",
            service: "s",
            priority: 1,
            route: { kind },
            metadata: { model: "", adapter: "", promptParts: [], promptTokens: 0 },
            declinedUpstreams: new Set(),
            attemptedUpstreams: [],
        } as unknown as InboundRequest;
        this.attempt(request, this.entries[this.random.integerBelow(this.entries.length)]);
    }

    private attempt(request: InboundRequest, entry: Entry): void {
        const selection = entry.selector.select(request, entry.endpoints, undefined);
        if (selection.kind !== "upstream") {
            this.lost += 1;
            return;
        }
        const { endpoint } = selection;
        const index = entry.endpoints.indexOf(endpoint);
        const tracked = endpoint.track(1, 0, 0);
        entry.ejections.sent(endpoint.id);
        request.attemptedUpstreams.push(endpoint.id);
        const isFailing = index < this.scenario.failing && this.random.uniform() < this.scenario.failureRate;
        const upstream = this.upstreams[index];
        this.after(latencyMs, () =>
            upstream.run(isFailing ? 1 : this.scenario.workMs, () => {
                const { load } = upstream;
                this.after(latencyMs, () => {
                    endpoint.updateReportedLoad(load);
                    tracked.finish();
                    this.handleOutcome(request, entry, endpoint.id, isFailing);
                });
            }));
    }

    private handleOutcome(request: InboundRequest, entry: Entry, id: string, failed: boolean): void {
        if (!failed) {
            entry.ejections.succeeded(id);
            this.detector.record({ upstream: id, served: 1, failed: 0 });
            return;
        }
        entry.ejections.failed(id);
        this.detector.record({ upstream: id, served: 0, failed: 1 });
        this.after(reportDelayMs, () => this.publish());
        if (request.route.kind === "safe" && request.attemptedUpstreams.length < maxAttempts) {
            this.attempt(request, entry);
        }
        else {
            this.lost += 1;
        }
    }

    private after(ms: number, callback: () => void): void {
        const at = this.now + ms;
        this.due.set(at, [...this.due.get(at) ?? [], callback]);
    }
}
