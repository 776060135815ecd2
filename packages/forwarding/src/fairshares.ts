/**
 * Shares capacity between client accounts at an entry, while the feature `fair-shares` is active: waiting requests are
 * served by priority, then by the least virtual work of their account, then by arrival. Requests of an account that has
 * used its share wait, and are rejected before others. Otherwise nothing changes.
 */
import { type AccountShares, type ShareRequest, type WaitTicket } from "@winchpath/accounts";
import { type Metrics, steadyNow } from "@winchpath/core";
import { type Configuration } from "@winchpath/declarations";
import { type ActiveFeatures } from "./activefeatures.js";
import { type Refusal } from "./admissioncontrollers.js";
import { type InboundRequest, promptEquivalentTokens } from "./inboundrequests.js";
import { LocalResponse } from "./localresponses.js";
import { type WaitOrder } from "./waitqueues.js";

/**
 * One in this many waiting requests of less urgent priorities is served as the most urgent, so that they don't starve.
 * More of them would let a more urgent kind of request be served noticeably less often than a less urgent one.
 */
const floorInterval = 20;
/** Several checks fit into the shortest time that a request waits, a fifth of an objective of 100 ms or more. */
const shareRecheckIntervalMs = 20;
/** Requests that have waited for longer check at the usual interval, in milliseconds. */
const maxShareRecheckMs = 100;
/** Priority of the requests that are served as the most urgent. */
const mostUrgent = 0;

interface WaitingRequest {
    readonly ticket: WaitTicket;
    readonly priority: number;
    /** Monotonic time at which it began to wait, in milliseconds. */
    readonly since: number;
}

/** Place of a request when it was last assigned to an upstream. */
interface AssignedPlace {
    tag: number;
    /** Undefined if it did not wait. */
    readonly waited: WaitingRequest | undefined;
    /** Whether the upstream did not execute it, so that it keeps its place. */
    isReturned: boolean;
}

export class FairShares implements WaitOrder<InboundRequest> {
    private readonly waiting = new Map<InboundRequest, WaitingRequest>();
    private readonly assigned = new WeakMap<InboundRequest, AssignedPlace>();
    /** Requests that have been counted as demand. */
    private readonly counted = new WeakSet<InboundRequest>();
    private lessUrgentCount = 0;

    /** `shares`: undefined if this entry does not share capacity between accounts. */
    public constructor(
        private readonly shares: AccountShares | undefined,
        private readonly features: Pick<ActiveFeatures, "has">,
        private readonly metrics: Metrics,
    ) {}

    /** Applies the accounts of the current configuration. */
    public refresh(configuration: Configuration | undefined): void {
        this.shares?.setAccounts(configuration?.accounts);
        this.exportMetrics();
        if (!this.isActive && this.waiting.size === 0) {
            this.shares?.clear();
        }
    }

    /** Order of waiting requests; by priority only for requests that don't wait for a share. */
    public compare(a: InboundRequest, b: InboundRequest): number {
        const [first, second] = [this.waiting.get(a), this.waiting.get(b)];
        const byPriority = (first?.priority ?? a.priority) - (second?.priority ?? b.priority);
        if (byPriority !== 0 || first === undefined || second === undefined || a.service !== b.service) {
            return byPriority;
        }
        return first.ticket.tag - second.ticket.tag;
    }

    /**
     * Whether the capacity that was found must be left to other accounts. Beyond its share, an account uses only what is
     * spare, so that a request of another account finds capacity without waiting. `isSpare`: whether there is capacity for
     * another request like this one.
     */
    public isReservedForOthers(request: InboundRequest, isSpare: () => boolean): boolean {
        return this.isHeld(request) && !isSpare();
    }

    /** Whether a request for the same model that waits is to be served before this one. */
    public isBehindOthers(request: InboundRequest): boolean {
        if (this.waiting.size === 0 || this.waiting.has(request) || request.attemptedUpstreams.length > 0) {
            return false;
        }
        return this.withShares(request, (shares, { service, account, priority }) => {
            const tag = this.returnedPlace(request)?.tag ?? shares.nextTag(service, account);
            for (const [other, { ticket, priority: otherPriority }] of this.waiting) {
                const competes = other.service === service && other.metadata.model === request.metadata.model
                    && ticket.account !== account;
                if (
                    competes && !this.isHeld(other)
                    && (otherPriority < priority || (otherPriority === priority && ticket.tag < tag))
                ) {
                    return true;
                }
            }
            return false;
        }) ?? false;
    }

    /**
     * Interval at which a waiting request checks for capacity, in milliseconds; undefined for the usual one. The entries of
     * an account that is over its share see most of the capacity that comes free, so requests of others check more often
     * at first. The interval grows with the time waited, since each check selects among all upstreams.
     */
    public recheckIntervalMs(request: InboundRequest): number | undefined {
        return this.withShares(request, (shares, { account, service }) => {
            const since = this.waiting.get(request)?.since;
            const waitedMs = since === undefined ? 0 : steadyNow() - since;
            return shares.isOverShare(account, service) || waitedMs >= maxShareRecheckMs
                ? undefined
                : Math.max(shareRecheckIntervalMs, waitedMs);
        });
    }

    /** Records that a request waits for capacity. */
    public enter(request: InboundRequest): void {
        if (this.waiting.has(request)) {
            return;
        }
        this.withShares(request, (shares, facts) => {
            this.recordDemand(request, shares, facts);
            const place = this.returnedPlace(request);
            const ticket = shares.enter(facts, !shares.isHeld(facts), place?.tag);
            const { priority, since } = place?.waited ?? { priority: this.priorityOf(request), since: steadyNow() };
            this.waiting.set(request, { ticket, priority, since });
        });
    }

    /** Records that a request doesn't wait any more. */
    public leave(request: InboundRequest): void {
        const waiting = this.waiting.get(request);
        if (waiting !== undefined) {
            this.waiting.delete(request);
            this.shares?.leave(factsOf(request, waiting.ticket.account), waiting.ticket);
        }
    }

    /** Records that a request is sent to an upstream. */
    public served(request: InboundRequest): void {
        this.withShares(request, (shares, facts) => {
            this.recordDemand(request, shares, facts);
            const waited = this.waiting.get(request);
            const tag = waited?.ticket.tag ?? this.returnedPlace(request)?.tag
                ?? shares.nextTag(facts.service, facts.account);
            this.assigned.set(request, { tag, waited, isReturned: false });
            shares.served(facts, waited?.ticket);
            const { service, account, work } = facts;
            this.metrics.count("account_work_total", { service, account }, Math.round(work));
        });
    }

    /** Takes back the work of a request that the upstream did not execute. */
    public returned(request: InboundRequest): void {
        const position = this.withShares(request, (shares, facts) => shares.returned(facts));
        const place = this.assigned.get(request);
        if (place !== undefined && position !== undefined) {
            // The position is lower if a new period of contention has begun since.
            place.tag = Math.min(place.tag, position);
            place.isReturned = true;
        }
    }

    /** Records that a request is rejected while all upstreams are full; returns the response if it is due to its share. */
    public refusal(request: InboundRequest): Refusal | undefined {
        return this.withShares(request, (shares, facts): Refusal | undefined => {
            const { service, account, work } = facts;
            this.recordDemand(request, shares, facts);
            const isHeld = this.isHeld(request);
            const reason = isHeld ? "over-share" : "full";
            this.metrics.count("account_refused_work_total", { service, account, reason }, Math.round(work));
            if (!isHeld) {
                shares.refused(facts);
                return undefined;
            }
            const retryAfterMs = shares.retryAfterMs(facts);
            return { kind: "refused", response: LocalResponse.overShare, retryAfterMs, details: { service } };
        });
    }

    /** Place of a request that was assigned to an upstream, which did not execute it. */
    private returnedPlace(request: InboundRequest): AssignedPlace | undefined {
        const place = this.assigned.get(request);
        return place?.isReturned ? place : undefined;
    }

    /**
     * Counts a request as demand once it waits for capacity, is sent, or is rejected for lack of capacity. Those that are rejected because their
     * model isn't loaded, for example, don't compete for capacity.
     */
    private recordDemand(request: InboundRequest, shares: AccountShares, facts: ShareRequest): void {
        if (!this.counted.has(request)) {
            this.counted.add(request);
            shares.asked(facts);
        }
    }

    private exportMetrics(): void {
        const statuses = this.isActive ? this.shares!.statuses() : [];
        for (const { service, account, weight, waiting, backlog, overShare, workPerSecond } of statuses) {
            const labels = { service, account };
            this.metrics.setGauge("account_weight", weight, labels);
            this.metrics.setGauge("account_waiting", waiting, labels);
            this.metrics.setGauge("account_backlog_work", backlog, labels);
            this.metrics.setGauge("account_over_share", overShare ? 1 : 0, labels);
            this.metrics.setGauge("account_limit_work_per_second", workPerSecond, labels);
        }
    }

    /** Whether the account has used its share. A request that has been sent before can't be rejected any more. */
    private isHeld(request: InboundRequest): boolean {
        return request.attemptedUpstreams.length === 0
            && (this.withShares(request, (shares, facts) => shares.isHeld(facts)) ?? false);
    }

    private get isActive(): boolean {
        return this.shares !== undefined && this.features.has("fair-shares");
    }

    private priorityOf({ priority }: InboundRequest): number {
        if (priority === mostUrgent) {
            return priority;
        }
        this.lessUrgentCount += 1;
        return this.lessUrgentCount % floorInterval === 0 ? mostUrgent : priority;
    }

    /** Calls `use` if shares are active and the request has an account. */
    private withShares<T>(
        request: InboundRequest,
        use: (shares: AccountShares, facts: ShareRequest) => T,
    ): T | undefined {
        return this.isActive && request.grant !== undefined
            ? use(this.shares!, factsOf(request, request.grant.account))
            : undefined;
    }
}

/** Requests for plain services state no tokens; each counts as 1. */
function factsOf(request: InboundRequest, account: string): ShareRequest {
    const { service, priority } = request;
    return { service, account, priority, work: Math.max(1, promptEquivalentTokens(request)) };
}
