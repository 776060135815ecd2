/** Scenarios in which client accounts compete for upstreams, and their execution on a simulated clock. */
import { AccountShares, ShareCoordinator, type SharePosition, weightsOf, type WorkCounts } from "@winchpath/accounts";
import { Metrics, silentLog, steadyNow } from "@winchpath/core";
import { type ClientAccount } from "@winchpath/declarations";
import { FairShares } from "@winchpath/forwarding";
import { SeededRandom } from "../seededrandoms.js";
import { SimulatedClock } from "../simulatedclocks.js";
import { DeficitRounds } from "./deficitrounds.js";
import { createShareRequest, type SharePolicy, SharingEntry } from "./entries.js";
import { UpstreamPool } from "./upstreampools.js";

/** How capacity is shared: `leader` is the production policy; `local` is its order of waiting requests alone. */
export const shareModes = ["none", "deficit rounds", "local", "leader"] as const;
export type ShareMode = typeof shareModes[number];

const upstreams = 8;
const slotsPerUpstream = 8;
const meanDurationMs = 300;
const objectiveMs = 500;
/** Usual load of all accounts, as a fraction of the capacity. */
const usualLoad = 0.85;
/** Time that a client waits in all; it retries once if told to return within a third of that. */
const clientTimeoutMs = 3000;
const retryShare = 1 / 3;
/** Share of a mean duration that every request takes. */
const minDurationRatio = 0.5;

const maxReportIntervalMs = 500;
const minReportIntervalMs = 25;
/** Minimum interval between requested reports, per entry in the fleet, as in production. */
const reportIntervalPerEntryMs = 2.7;
const networkDelayMs = 2;

/** Relative loads of the accounts; a few of them are large. */
const accountLoads = [12, 10, 8, 6, 4, 4, 3, 3, 2, 2, 2, 1, 1, 1, 1];
export const accountNames = accountLoads.map((_, index) => `a${index}`);

export interface ShareScenario {
    readonly name: string;
    readonly entries: number;
    readonly seconds: number;
    /** Accounts whose requests arrive at two entries each, and that are noisy. */
    readonly noisyAccounts: readonly string[];
    /** Multiple of the usual load of the noisy accounts between `from` and `to`, in seconds. */
    readonly noise: number;
    readonly from: number;
    readonly to: number;
    /** Start of the time in which requests are counted, in seconds; defaults to `from`. */
    readonly countedFrom?: number;
    /** Time in seconds at which the leader is lost; another one without state takes over after 3 s. */
    readonly leaderLostAt?: number;
    /** Interval in seconds at which entries restart without state, one after the other. */
    readonly restartInterval?: number;
}

export interface ShareResult {
    /** Requests served by account, of those that arrived while the account was noisy. */
    readonly served: ReadonlyMap<string, number>;
    readonly arrived: ReadonlyMap<string, number>;
    readonly total: number;
}

const totalLoad = accountLoads.reduce((sum, load) => sum + load, 0);
const capacityPerSecond = upstreams * slotsPerUpstream / meanDurationMs * 1000;

/** Accounts with limits that are in proportion to their usual load. */
export const shareAccounts: readonly ClientAccount[] = accountLoads.map((load, index) => ({
    name: accountNames[index],
    keyDigests: [],
    limit: { unit: "requests", perSecond: load * 10, burst: load * 10, plainTokens: 0 },
}));

/** Connects entries to a leader, without a network. */
class ShareNetwork {
    public leader: ShareCoordinator | undefined;
    private readonly reportedAt: number[];
    private readonly sequences: number[];
    private readonly requested: boolean[];
    private readonly knownLeaders: (ShareCoordinator | undefined)[] = [];
    private readonly processes: number[];

    public constructor(private readonly entries: number) {
        this.reportedAt = Array.from(
            { length: entries },
            (_, index) => steadyNow() - index * maxReportIntervalMs / entries,
        );
        this.sequences = this.reportedAt.map(() => 0);
        this.requested = this.reportedAt.map(() => false);
        this.processes = this.reportedAt.map(() => 1);
    }

    public startLeader(): void {
        this.leader = new ShareCoordinator(silentLog);
        this.leader.setAccounts(shareAccounts);
    }

    /** A new process of the entry begins to report. */
    public restart(entry: number): void {
        this.processes[entry] += 1;
        this.sequences[entry] = 0;
        this.knownLeaders[entry] = undefined;
    }

    public requestReport(entry: number): void {
        this.requested[entry] = true;
    }

    public sendDueReports(shares: readonly AccountShares[]): void {
        const now = steadyNow();
        const pauseMs = Math.max(minReportIntervalMs, this.entries * reportIntervalPerEntryMs);
        shares.forEach((one, index) => {
            const sinceMs = now - this.reportedAt[index];
            if (sinceMs >= maxReportIntervalMs || (this.requested[index] && sinceMs >= pauseMs)) {
                this.requested[index] = false;
                this.reportedAt[index] = now;
                this.report(one, index);
            }
        });
    }

    private report(shares: AccountShares, index: number): void {
        const isComplete = this.leader !== undefined && this.leader !== this.knownLeaders[index];
        const counts: WorkCounts[] = shares.workCounts(isComplete);
        this.sequences[index] += 1;
        const positions: SharePosition[] | undefined = this.leader?.processWork({
            entry: `e${index}`,
            process: this.processes[index],
            sequence: this.sequences[index],
            isComplete,
            counts,
            entries: this.entries,
        });
        if (positions !== undefined) {
            this.knownLeaders[index] = this.leader;
            setTimeout(() => shares.applyPositions(counts, positions), networkDelayMs);
        }
    }
}

/** Runs a scenario; the arrivals of each account depend on the seed only. */
export async function runShareScenario(scenario: ShareScenario, mode: ShareMode, seed: number): Promise<ShareResult> {
    const clock = SimulatedClock.install();
    try {
        return await new ShareRun(scenario, mode, seed, clock).run();
    }
    finally {
        clock.restore();
    }
}

class ShareRun {
    private readonly pool = new UpstreamPool(upstreams, slotsPerUpstream);
    private readonly network: ShareNetwork;
    private readonly shares: AccountShares[] = [];
    private readonly entries: SharingEntry[];
    private readonly served = new Map<string, number>();
    private readonly arrived = new Map<string, number>();

    public constructor(
        private readonly scenario: ShareScenario,
        private readonly mode: ShareMode,
        private readonly seed: number,
        private readonly clock: SimulatedClock,
    ) {
        this.network = new ShareNetwork(scenario.entries);
        this.network.startLeader();
        this.entries = Array.from(
            { length: scenario.entries },
            (_, index) => new SharingEntry(this.createPolicy(index), this.pool),
        );
    }

    public async run(): Promise<ShareResult> {
        const { seconds, leaderLostAt, restartInterval } = this.scenario;
        accountNames.forEach((_, index) => this.scheduleArrivals(index));
        const reports = setInterval(() => this.network.sendDueReports(this.shares), minReportIntervalMs);
        if (leaderLostAt !== undefined) {
            setTimeout(() => this.network.leader = undefined, leaderLostAt * 1000);
            setTimeout(() => this.network.startLeader(), (leaderLostAt + 3) * 1000);
        }
        const restarts = restartInterval === undefined ? undefined : this.startRestarts(restartInterval * 1000);
        await this.clock.advance(seconds * 1000);
        clearInterval(reports);
        clearInterval(restarts);
        const total = [...this.served.values()].reduce((sum, count) => sum + count, 0);
        return { served: this.served, arrived: this.arrived, total };
    }

    /** Requests that are running or waiting at a restarted entry end there. */
    private startRestarts(intervalMs: number): NodeJS.Timeout {
        let next = 0;
        return setInterval(() => {
            const index = next++ % this.entries.length;
            this.network.restart(index);
            this.entries[index] = new SharingEntry(this.createPolicy(index), this.pool);
        }, intervalMs);
    }

    private createPolicy(index: number): SharePolicy {
        if (this.mode === "deficit rounds") {
            const weights = weightsOf(shareAccounts);
            return new DeficitRounds(account => weights.get(account)!);
        }
        if (this.mode === "none") {
            return new FairShares(undefined, { has: () => false }, new Metrics());
        }
        const shares = new AccountShares(() => this.network.requestReport(index));
        shares.setAccounts(shareAccounts);
        if (this.mode === "leader") {
            this.shares[index] = shares;
        }
        return new FairShares(shares, { has: () => true }, new Metrics());
    }

    /** Schedules the arrivals of one account at its usual rate, and those that are added while it is noisy. */
    private scheduleArrivals(index: number): void {
        const perSecond = accountLoads[index] / totalLoad * capacityPerSecond * usualLoad;
        const { noise, from, to, seconds } = this.scenario;
        this.scheduleStream(index, perSecond, 0, seconds, this.seed * 1000 + index);
        if (this.scenario.noisyAccounts.includes(accountNames[index]) && noise > 1) {
            this.scheduleStream(index, perSecond * (noise - 1), from, to, this.seed * 1000 + 500 + index);
        }
    }

    private scheduleStream(index: number, perSecond: number, from: number, to: number, seed: number): void {
        const random = new SeededRandom(seed);
        const account = accountNames[index];
        for (let at = from * 1000;;) {
            at += random.exponentialDelayMs(perSecond);
            if (at >= to * 1000) {
                return;
            }
            const durationMs = meanDurationMs * (minDurationRatio + 2 * (1 - minDurationRatio) * random.uniform());
            const position = this.scenario.noisyAccounts.indexOf(account);
            const entryOf = () =>
                position === -1
                    ? random.integerBelow(this.entries.length)
                    : (2 * position + random.integerBelow(2)) % this.entries.length;
            const [first, second] = [entryOf(), entryOf()];
            const isCounted = at >= (this.scenario.countedFrom ?? this.scenario.from) * 1000
                && at < this.scenario.to * 1000;
            setTimeout(() => void this.call(account, [first, second], durationMs, isCounted), at);
        }
    }

    private async call(account: string, entries: number[], durationMs: number, isCounted: boolean): Promise<void> {
        const startedAt = steadyNow();
        if (isCounted) {
            this.arrived.set(account, (this.arrived.get(account) ?? 0) + 1);
        }
        for (const entry of entries) {
            const request = createShareRequest(account, 0, objectiveMs);
            const { retryAfterMs } = await this.entries[entry].serve(request, durationMs);
            if (retryAfterMs === undefined) {
                if (isCounted) {
                    this.served.set(account, (this.served.get(account) ?? 0) + 1);
                }
                return;
            }
            const remainingMs = clientTimeoutMs - (steadyNow() - startedAt);
            if (retryAfterMs > remainingMs * retryShare) {
                return;
            }
            await new Promise<void>(resolve => setTimeout(resolve, retryAfterMs));
        }
    }
}
