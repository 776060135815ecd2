import { silentLog } from "@winchpath/core";
import { expect } from "earl";
import fc from "fast-check";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import prand from "pure-rand";
import { RateLimitCoordinator, RateLimits } from "../index.js";

/** Duration of a simulation step in milliseconds. */
const stepMs = 10;
/** Period in which the upstream announces its rate, in milliseconds. */
const limitedFrom = 1000;
const limitedUntil = 16_000;
const endMs = 40_000;
/** Duration of the final period in which unlimited throughput is checked, in milliseconds. */
const measuredMs = 4000;
/** Time after the first announcement from which the rate must be kept, in milliseconds. */
const convergenceMs = 3000;
const windowMs = 4000;
const reportMs = 500;
const pauseMs = 30;
const upstream = "u";
/** Number of distinct values of a random fraction. */
const resolution = 1_000_000;

interface Scenario {
    readonly entries: number;
    readonly perSecond: number;
    /** Requests per second over all entries. */
    readonly demand: number;
    /** Maximum delay of messages and answers, in milliseconds. */
    readonly delayMs: number;
    /** Share of messages that are lost. */
    readonly loss: number;
    /** Leader failures: start and duration in milliseconds. */
    readonly losses: readonly { readonly at: number; readonly forMs: number; }[];
    readonly seed: number;
}

const scenarios = fc.record<Scenario>({
    entries: fc.integer({ min: 1, max: 40 }),
    perSecond: fc.oneof(fc.constant(0), fc.double({ min: 0.1, max: 30, noNaN: true })),
    demand: fc.integer({ min: 5, max: 200 }),
    delayMs: fc.integer({ min: 2, max: 150 }),
    loss: fc.double({ min: 0, max: 0.3, noNaN: true }),
    losses: fc.array(
        fc.record({ at: fc.integer({ min: 0, max: endMs }), forMs: fc.integer({ min: 10, max: 5000 }) }),
        { maxLength: 4 },
    ),
    seed: fc.integer(),
});

/** Simulates entries, a leader that fails and recovers, and one upstream, without a network. */
class Simulation {
    /** Times at which requests reached the upstream. */
    public readonly arrivals: number[] = [];
    private readonly entries: { readonly rates: RateLimits; reportedAt: number; busy: boolean; }[];
    private coordinator: RateLimitCoordinator | undefined;
    private epoch = 0;
    private events: { readonly at: number; readonly act: () => void; }[] = [];
    private readonly generator: prand.RandomGenerator;
    private requests = 0;
    private due = 0;

    public constructor(private readonly scenario: Scenario, private readonly startedAt: number) {
        this.generator = prand.xoroshiro128plus(scenario.seed);
        this.entries = Array.from({ length: scenario.entries }, () => ({
            rates: new RateLimits(),
            reportedAt: Number.NEGATIVE_INFINITY,
            busy: false,
        }));
        this.startLeader();
        for (const { at, forMs } of scenario.losses) {
            this.schedule(at, () => this.coordinator = undefined);
            this.schedule(at + forMs, () => this.startLeader());
        }
    }

    public run(): void {
        while (this.now < endMs) {
            const due = this.events.filter(({ at }) => at <= this.now);
            this.events = this.events.filter(({ at }) => at > this.now);
            due.sort((a, b) => a.at - b.at).forEach(({ act }) => act());
            this.sendDue();
            this.entries.forEach((_, index) => this.report(index));
            mock.timers.tick(stepMs);
        }
    }

    private get now(): number {
        return Date.now() - this.startedAt;
    }

    private schedule(ms: number, act: () => void): void {
        this.events.push({ at: this.now + ms, act });
    }

    private random(): number {
        return prand.unsafeUniformIntDistribution(0, resolution - 1, this.generator) / resolution;
    }

    private delay(): number {
        return 1 + this.random() * this.scenario.delayMs;
    }

    private startLeader(): void {
        this.epoch += 1;
        const coordinator = new RateLimitCoordinator(silentLog, (id, limited) => {
            if (limited) {
                this.entries.forEach(({ rates }) => this.schedule(this.delay(), () => rates.recordKnownLimit(id)));
            }
        });
        this.coordinator = coordinator;
    }

    private sendDue(): void {
        this.due += this.scenario.demand * stepMs / 1000;
        for (; this.due >= 1; this.due--) {
            this.requests += 1;
            const { rates } = this.entries[Math.floor(this.random() * this.scenario.entries)];
            if (rates.blockedUntil(upstream) === undefined) {
                this.send(rates);
            }
            else {
                rates.addWaiting(upstream, `q${this.requests}`);
            }
        }
    }

    private send(rates: RateLimits): void {
        const sentAt = Date.now();
        rates.acquirePermit(upstream);
        this.schedule(this.delay(), () => {
            this.arrivals.push(this.now);
            this.schedule(20 + this.random() * 400, () => {
                const limited = this.now >= limitedFrom && this.now < limitedUntil;
                this.schedule(this.delay(), () => {
                    if (limited) {
                        rates.recordRate(upstream, this.scenario.perSecond, sentAt);
                    }
                    else {
                        rates.recordUnlimitedAnswer(upstream, sentAt);
                    }
                });
            });
        });
    }

    /** A report whose message or response is lost ends with its timeout. */
    private report(index: number): void {
        const entry = this.entries[index];
        const epoch = String(this.epoch);
        const sinceMs = this.now - entry.reportedAt;
        const { coordinator } = this;
        if (entry.busy || coordinator === undefined || sinceMs < pauseMs || !entry.rates.hasReports(epoch)) {
            return;
        }
        const askedAt = Date.now();
        const reports = entry.rates.createReports(epoch);
        entry.reportedAt = this.now;
        entry.busy = true;
        const [asked, answered] = [this.random() >= this.scenario.loss, this.random() >= this.scenario.loss];
        if (!asked) {
            this.schedule(reportMs, () => entry.busy = false);
            return;
        }
        this.schedule(this.delay(), () => {
            const grants = coordinator === this.coordinator
                ? coordinator.processReports(`e${index}`, reports)
                : undefined;
            if (grants === undefined || !answered) {
                this.schedule(reportMs, () => entry.busy = false);
                return;
            }
            this.schedule(this.delay(), () => {
                entry.busy = false;
                entry.rates.applyGrants(reports, grants, { epoch, askedAt });
            });
        });
    }
}

function maxArrivalsInWindow(arrivals: readonly number[], from: number, until: number): number {
    const times = arrivals.filter(at => at >= from && at < until);
    return Math.max(0, ...times.map(begin => times.filter(at => at >= begin && at < begin + windowMs).length));
}

describe("a rate limit announced by an upstream, over all entries,", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date"], now: 1_000_000 }));
    afterEach(() => mock.timers.reset());

    // Guards against entries that exceed a limit together, because each keeps within it alone or they follow different
    // leaders.
    it("is kept and lifted under random delays, lost messages and leader changes", () => {
        fc.assert(
            fc.property(scenarios, history => {
                const world = new Simulation(history, Date.now());
                world.run();
                const { arrivals } = world;
                const allowed = Math.floor(1.5 * history.perSecond * windowMs / 1000 + 5);
                expect(maxArrivalsInWindow(arrivals, limitedFrom + convergenceMs, limitedUntil)).toBeLessThanOrEqual(
                    allowed,
                );
                const last = arrivals.filter(at => at >= endMs - measuredMs).length;
                const hasStableLeader = history.losses.every(({ at, forMs }) => at + forMs < limitedUntil);
                // Each entry needs a request of its own to learn that the limit is lifted.
                if (hasStableLeader && history.demand >= history.entries) {
                    expect(last).toBeGreaterThan(history.demand * measuredMs / 1000 * 0.9);
                }
            }),
            { numRuns: 150, seed: 45 },
        );
    });
});
