/**
 * The leader's record of the entries' hosts. Computes how uneven they are, by their processors or by what they get to do,
 * and grants single entries to withdraw their readiness while they are overloaded, so that a load balancer sends new
 * connections to others.
 */
import { type MessageInitShape } from "@bufbuild/protobuf";
import { eventLoop, steadyNow } from "@winchpath/core";
import { type HostCapacitySchema, type HostGrantSchema, type PollRequest } from "./gen/winchpath/fleet/v1/fleet_pb.js";

/** What an entry reports about its host. */
export type HostCapacityReport = MessageInitShape<typeof HostCapacitySchema>;

/** Validity of a grant, in milliseconds; spans three polls, so that one lost response withdraws nothing for longer. */
export const hostGrantLifeMs = 3000;
/** An entry that has not polled for this long, three polls, is not counted. */
const entryTimeoutMs = 3000;
/** A leader without quorum contact for longer grants nothing; a later leader may grant in its place. */
const maxGrantQuorumAgeMs = 1000;
/** Time in which a new leader grants nothing: grants of its predecessor, which it doesn't know, expire meanwhile. */
const grantDelayMs = hostGrantLifeMs + maxGrantQuorumAgeMs;
/** Share of a data centre's ready entries that may be withdrawn at a time, as a divisor. */
const withdrawnDivisor = 3;
/** Load from which on a host may lack room that others have: below it, bursts are served without delay. */
const hotLoad = 0.7;
/** Ratio of its load to that of others from which on a host is hot; connections are never spread evenly. */
const hotRatio = 2;
/** Lower bound of the load of others when it is compared, since an idle host's is 0. */
const minComparedLoad = 0.05;
/** How long the ratio of the hosts is cached, in milliseconds. */
const ratioCacheMs = 1000;

/** State of the leadership on which grants depend. */
export interface GrantingLeader {
    readonly leadershipAgeMs: number;
    readonly quorumAgeMs: number;
}

interface HostState {
    readonly dataCentre: string;
    readonly processorShare: number;
    readonly load: number;
    readonly wantsRelief: boolean;
    readonly ready: boolean;
    readonly reportedAt: number;
    /** Monotonic time until which the entry may be withdrawn. */
    withdrawnUntil: number;
}

export class HostCapacities {
    private readonly hosts = new Map<string, HostState>();
    private ratio = { at: Number.NEGATIVE_INFINITY, value: 1 };

    /** Replaces what is known about an entry's host. */
    public record({ entry, dataCentre, capacity }: Pick<PollRequest, "entry" | "dataCentre" | "capacity">): void {
        if (capacity === undefined) {
            this.hosts.delete(entry);
            return;
        }
        this.hosts.set(entry, {
            dataCentre,
            processorShare: positive(capacity.processorShare),
            load: positive(capacity.load),
            wantsRelief: capacity.wantsRelief,
            ready: capacity.ready,
            reportedAt: steadyNow(),
            withdrawnUntil: this.hosts.get(entry)?.withdrawnUntil ?? Number.NEGATIVE_INFINITY,
        });
    }

    /** Returns the grant for an entry's next response; undefined if there is nothing to tell. */
    public grantFor(entry: string, leader: GrantingLeader): MessageInitShape<typeof HostGrantSchema> | undefined {
        if (leader.leadershipAgeMs <= grantDelayMs) {
            return undefined;
        }
        const host = this.hosts.get(entry);
        const mayWithdraw = host !== undefined && host.wantsRelief && leader.quorumAgeMs < maxGrantQuorumAgeMs
            && this.mayWithdraw(entry, host);
        if (mayWithdraw) {
            host.withdrawnUntil = steadyNow() + hostGrantLifeMs;
        }
        const hostRatio = Math.max(this.hostRatio(), host === undefined ? 1 : this.loadRatio(entry, host));
        return hostRatio === 1 && !mayWithdraw
            ? undefined
            : { hostRatio, mayWithdraw, lifeMs: mayWithdraw ? hostGrantLifeMs : 0 };
    }

    /** Ratio of the largest to the smallest processor share among live entries; 1 if unknown. */
    public hostRatio(): number {
        const now = steadyNow();
        if (now - this.ratio.at >= ratioCacheMs) {
            this.forgetSilent();
            const shares = [...this.hosts.values()].map(host => host.processorShare).filter(share => share > 0);
            const value = shares.length < 2 ? 1 : Math.max(...shares) / Math.min(...shares);
            this.ratio = { at: now, value };
        }
        return this.ratio.value;
    }

    /**
     * Ratio of a hot host's load to the median of the other ready ones, 1 if it isn't hot: a load balancer may send most
     * new connections to one of several equal hosts.
     */
    private loadRatio(entry: string, { load }: HostState): number {
        if (load < hotLoad) {
            return 1;
        }
        const others = [...this.hosts]
            .filter(([name, host]) => name !== entry && host.ready && isLive(host))
            .map(([, host]) => host.load)
            .sort((a, b) => a - b);
        const median = others.at(Math.floor(others.length / 2));
        const ratio = median === undefined ? 1 : load / Math.max(median, minComparedLoad);
        return ratio < hotRatio ? 1 : ratio;
    }

    /** Whether the entry is among the most loaded that may be withdrawn in its data centre. */
    private mayWithdraw(entry: string, { dataCentre, load }: HostState): boolean {
        const now = steadyNow();
        const peers = [...this.hosts].filter(([, host]) =>
            host.dataCentre === dataCentre && host.ready && isLive(host)
        );
        const others = peers.filter(([name]) => name !== entry);
        const withdrawn = others.filter(([, host]) => host.withdrawnUntil > now).length;
        const moreLoaded = others
            .filter(([, host]) => host.wantsRelief && host.withdrawnUntil <= now && host.load > load)
            .length;
        return withdrawn + moreLoaded < Math.floor(peers.length / withdrawnDivisor);
    }

    private forgetSilent(): void {
        const now = steadyNow();
        for (const [entry, host] of this.hosts) {
            if (!isLive(host) && host.withdrawnUntil <= now) {
                this.hosts.delete(entry);
            }
        }
    }
}

/** Judged by the time up to which polls have been read. */
function isLive({ reportedAt }: HostState): boolean {
    return eventLoop.readUntil - reportedAt < entryTimeoutMs;
}

/** Invalid figures of an entry count as unknown. */
function positive(value: number): number {
    return Number.isFinite(value) ? Math.max(0, value) : 0;
}
