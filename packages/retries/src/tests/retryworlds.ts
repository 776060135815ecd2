/**
 * A random world of entries and leaders on a simulated clock: entries start, end, freeze and are cut off; leaders change,
 * freeze and go on answering for a while after another was elected; messages are late or lost; retries wait before they are
 * sent. Upstreams fail so much that entries want more retries than they may send.
 */
import { Metrics, silentLog, steadyNow } from "@winchpath/core";
import { mock } from "node:test";
import { type RandomGenerator, unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import {
    type RetryBound,
    RetryBudgetTable,
    type RetryReservation,
    SlotCoordinator,
    type SlotGrants,
    type SlotReports,
} from "../index.js";

const stepMs = 50;
const reportMs = 500;
const urgentReportMs = 100;
const reportTimeoutMs = 800;
/** Time for which a leader without quorum contact goes on answering, in milliseconds. */
export const maxOverlapMs = 2000;
export const service = "s";
export const bound: RetryBound = { ratio: 0.2, slack: 20, windowMs: 10_000 };
/** Longest time from a client's sending to an entry, and from there to an upstream, in milliseconds. */
const maxTransitMs = 200;
const randomResolution = 1 << 24;

interface SimulatedLeader {
    readonly coordinator: SlotCoordinator;
    /** Monotonic time at which it lost contact to the others; undefined while it has it. */
    lostAt: number | undefined;
    frozenUntil: number;
    /** Reports that it hasn't read. */
    readonly inbox: { readonly at: number; readonly report: SlotReports; readonly entry: SimulatedEntry; }[];
}

interface WaitingRetry {
    readonly reservation: RetryReservation;
    readonly sendAt: number;
}

interface PendingReport {
    readonly sequence: number;
    readonly askedAt: number;
    answer: { readonly at: number; readonly grants: SlotGrants; } | undefined;
}

interface SimulatedEntry {
    readonly name: string;
    process: number;
    table: RetryBudgetTable;
    sequence: number;
    pending: PendingReport | undefined;
    waiting: WaitingRetry[];
    reportedAt: number;
    /** Index of the leader that it follows; undefined if it is cut off. */
    leader: number | undefined;
    /** Monotonic time from which it follows the newest leader. */
    followsAt: number;
    /** Not running before this time. */
    downUntil: number;
    frozenUntil: number;
    requestsPerSecond: number;
    retriesPerSecond: number;
}

export interface RetryWorldOptions {
    /** Whether nothing fails but upstreams. */
    readonly isCalm?: boolean;
    /** Number of entries; random by default. */
    readonly entries?: number;
    /** Whether requests count towards the bound; without them the slots are all of it. */
    readonly hasRequests?: boolean;
}

/** What a world has shown. */
export interface WorldOutcome {
    readonly sent: number;
    /** The first window with more retries than allowed. */
    readonly excess: { readonly at: number; readonly retries: number; readonly allowed: number; } | undefined;
}

export class RetryWorld {
    private readonly random: RandomGenerator;
    private readonly leaders: SimulatedLeader[] = [];
    private readonly entries: SimulatedEntry[];
    private readonly requestTimes: number[] = [];
    private readonly retryTimes: number[] = [];
    private processes = 0;

    private readonly isCalm: boolean;
    private readonly hasRequests: boolean;
    /** Disturbances of each kind a second, at most. */
    private readonly disturbance: number;

    public constructor(seed: number, { isCalm = false, entries, hasRequests = true }: RetryWorldOptions = {}) {
        this.isCalm = isCalm;
        this.hasRequests = hasRequests;
        this.random = xoroshiro128plus(seed);
        this.disturbance = [0.03, 0.1, 0.3][this.below(3)];
        this.elect(true);
        const count = entries ?? 1 + this.below(6);
        this.entries = Array.from({ length: count }, (_, index) => this.createEntry(`e${index}`));
    }

    /** Runs the world for this time, on the clock of `mock.timers`. */
    public run(ms: number): WorldOutcome {
        for (const until = steadyNow() + ms; steadyNow() < until;) {
            mock.timers.tick(stepMs);
            if (!this.isCalm) {
                this.disturb();
            }
            this.leaders.forEach(leader => this.stepLeader(leader));
            this.entries.forEach(entry => this.stepEntry(entry));
        }
        return { sent: this.retryTimes.length, excess: this.findExcess() };
    }

    /** Makes one entry receive all failures. */
    public concentrate(requestsPerSecond: number): void {
        this.entries.forEach((entry, index) => {
            entry.requestsPerSecond = requestsPerSecond;
            entry.retriesPerSecond = index === 0 ? 20 : 0;
        });
    }

    private disturb(): void {
        const now = steadyNow();
        if (this.chance(this.disturbance)) {
            this.replaceLeader();
        }
        for (const entry of this.entries) {
            if (this.chance(this.disturbance)) {
                this.restart(entry, now + this.below(3000));
            }
            if (this.chance(this.disturbance)) {
                entry.frozenUntil = now + this.below(8000);
            }
            if (this.chance(this.disturbance)) {
                entry.leader = undefined;
                entry.followsAt = now + this.below(20_000);
            }
            if (this.chance(this.disturbance)) {
                // Back to a leader that may have been replaced.
                entry.leader = Math.max(0, this.leaders.length - 1 - this.below(2));
            }
            if (this.chance(0.2)) {
                entry.requestsPerSecond = this.requestRate();
                entry.retriesPerSecond = this.below(4) * this.below(20);
            }
        }
    }

    /** A new leader is elected at the moment at which the old one loses contact, or later. */
    private replaceLeader(): void {
        const old = this.leaders.at(-1)!;
        if (old.lostAt === undefined) {
            old.lostAt = steadyNow();
            if (this.below(2) === 0) {
                old.frozenUntil = steadyNow() + this.below(5000);
            }
        }
        if (this.below(3) > 0) {
            this.elect(false);
        }
    }

    private elect(isFirst: boolean): void {
        const term = this.leaders.length + 1;
        this.leaders.push({
            coordinator: new SlotCoordinator({
                term,
                isFirst,
                electedAt: steadyNow(),
                maxOverlapMs,
                bound: () => bound,
                log: silentLog,
            }),
            lostAt: undefined,
            frozenUntil: Number.NEGATIVE_INFINITY,
            inbox: [],
        });
        this.entries?.forEach(entry => {
            if (entry.leader !== undefined) {
                entry.followsAt = steadyNow() + this.below(2500);
            }
        });
    }

    private stepLeader(leader: SimulatedLeader): void {
        const now = steadyNow();
        if (now < leader.frozenUntil) {
            return;
        }
        const due = leader.inbox.filter(({ at }) => at <= now);
        leader.inbox.splice(0, leader.inbox.length, ...leader.inbox.filter(({ at }) => at > now));
        for (const { report, entry } of due) {
            if (leader.lostAt !== undefined && now - leader.lostAt >= maxOverlapMs) {
                continue;
            }
            const grants = leader.coordinator.processReports(report);
            const { pending } = entry;
            if (entry.process === report.process && pending?.sequence === report.sequence && this.below(10) > 0) {
                pending.answer = { at: now + this.below(400), grants };
            }
        }
    }

    private stepEntry(entry: SimulatedEntry): void {
        const now = steadyNow();
        if (now < entry.downUntil || now < entry.frozenUntil) {
            return;
        }
        if (now >= entry.followsAt) {
            entry.followsAt = Number.POSITIVE_INFINITY;
            entry.leader = this.leaders.length - 1;
        }
        this.receiveAnswer(entry);
        this.receiveRequests(entry);
        this.sendRetries(entry);
        this.report(entry);
    }

    private receiveAnswer(entry: SimulatedEntry): void {
        const { pending } = entry;
        const now = steadyNow();
        if (pending === undefined) {
            return;
        }
        const isLate = now - pending.askedAt > reportTimeoutMs;
        const hasArrived = pending.answer !== undefined && pending.answer.at <= now;
        // After a freeze, either the timer or the answer may be handled first.
        if (hasArrived && (!isLate || this.below(2) === 0)) {
            entry.table.applyGrants(pending.answer!.grants, pending.askedAt);
            entry.pending = undefined;
        }
        else if (isLate) {
            entry.pending = undefined;
        }
    }

    private receiveRequests(entry: SimulatedEntry): void {
        const budget = entry.table.of(service);
        for (let left = this.times(entry.requestsPerSecond); left > 0; left--) {
            budget.recordRequest();
            this.requestTimes.push(steadyNow() - this.below(maxTransitMs));
        }
        for (let left = this.times(entry.retriesPerSecond); left > 0; left--) {
            const reservation = budget.reserve();
            if (reservation !== undefined) {
                const waitMs = this.isCalm || this.below(3) > 0 ? 0 : this.below(12_000);
                entry.waiting.push({ reservation, sendAt: steadyNow() + waitMs });
            }
        }
    }

    private sendRetries(entry: SimulatedEntry): void {
        const budget = entry.table.of(service);
        const now = steadyNow();
        const due = entry.waiting.filter(({ sendAt }) => sendAt <= now);
        entry.waiting = entry.waiting.filter(({ sendAt }) => sendAt > now);
        for (const { reservation } of due) {
            if (this.below(10) > 0 && budget.maySend(reservation)) {
                budget.send(reservation);
                this.retryTimes.push(now + this.below(maxTransitMs));
            }
            else {
                budget.release(reservation);
            }
        }
    }

    private report(entry: SimulatedEntry): void {
        const now = steadyNow();
        const sinceMs = now - entry.reportedAt;
        const isDue = sinceMs >= reportMs || (sinceMs >= urgentReportMs && entry.table.hasReports);
        if (entry.pending !== undefined || entry.leader === undefined || !isDue) {
            return;
        }
        entry.reportedAt = now;
        entry.sequence += 1;
        const report: SlotReports = {
            entry: entry.name,
            process: entry.process,
            sequence: entry.sequence,
            term: entry.table.term,
            services: entry.table.createReports(),
        };
        entry.pending = { sequence: entry.sequence, askedAt: now, answer: undefined };
        if (this.below(10) > 0) {
            this.leaders[entry.leader].inbox.push({ at: now + this.below(1500) * this.below(2), report, entry });
        }
    }

    private createEntry(name: string): SimulatedEntry {
        return {
            name,
            process: this.nextProcess(),
            table: createTable(),
            sequence: 0,
            pending: undefined,
            waiting: [],
            reportedAt: Number.NEGATIVE_INFINITY,
            leader: this.leaders.length - 1,
            followsAt: Number.POSITIVE_INFINITY,
            downUntil: Number.NEGATIVE_INFINITY,
            frozenUntil: Number.NEGATIVE_INFINITY,
            requestsPerSecond: this.requestRate(),
            retriesPerSecond: 10 + this.below(20),
        };
    }

    private restart(entry: SimulatedEntry, downUntil: number): void {
        const { name, requestsPerSecond, retriesPerSecond } = entry;
        Object.assign(entry, this.createEntry(name), { downUntil, requestsPerSecond, retriesPerSecond });
    }

    private requestRate(): number {
        return this.hasRequests ? this.below(3) * this.below(40) : 0;
    }

    private nextProcess(): number {
        this.processes += 1;
        return this.processes;
    }

    private findExcess(): WorldOutcome["excess"] {
        const { ratio, slack, windowMs } = bound;
        const retries = this.retryTimes.sort((a, b) => a - b);
        const requests = this.requestTimes.sort((a, b) => a - b);
        const between = (times: readonly number[], from: number, until: number) =>
            countUpTo(times, until) - countUpTo(times, from);
        for (const until of retries) {
            const counted = [0, 0.5, 1].map(earlier =>
                between(requests, until - (earlier + 1) * windowMs, until - earlier * windowMs)
            );
            const sent = between(retries, until - windowMs, until);
            const allowed = ratio * Math.max(...counted) + slack;
            if (sent > allowed) {
                return { at: until, retries: sent, allowed };
            }
        }
        return undefined;
    }

    private below(count: number): number {
        return unsafeUniformIntDistribution(0, count - 1, this.random);
    }

    /** Whether something happens in this step that happens this often a second. */
    private chance(perSecond: number): boolean {
        return this.below(randomResolution) < perSecond * stepMs / 1000 * randomResolution;
    }

    private times(perSecond: number): number {
        const mean = perSecond * stepMs / 1000;
        return Math.floor(mean) + (this.chance((mean % 1) * 1000 / stepMs) ? 1 : 0);
    }
}

function createTable(): RetryBudgetTable {
    return new RetryBudgetTable({
        bound: () => bound,
        services: () => [service],
        requestReport: () => undefined,
        log: silentLog,
        metrics: new Metrics(),
    });
}

/** Number of times up to `until`, in ascending `times`. */
function countUpTo(times: readonly number[], until: number): number {
    let [low, high] = [0, times.length];
    while (low < high) {
        const middle = (low + high) >> 1;
        if (times[middle] <= until) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}
