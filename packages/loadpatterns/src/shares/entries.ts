/** An entry that shares the slots of a pool of upstreams with other entries, reduced to the decisions about shares. */
import { noCharge } from "@winchpath/accounts";
import { steadyNow } from "@winchpath/core";
import { busyRetryMs, type FairShares, type InboundRequest, WaitQueue } from "@winchpath/forwarding";
import { type UpstreamPool } from "./upstreampools.js";

/** Requests are rejected within this share of their objective, as the forwarder does. */
const refusalObjectiveShare = 0.2;
/** Interval at which a waiting request checks whether to keep waiting, in milliseconds, as in the forwarder. */
const recheckIntervalMs = 100;

/** Decisions about shares; the production one is {@link FairShares}. */
export type SharePolicy = Pick<
    FairShares,
    | "compare"
    | "enter"
    | "isBehindOthers"
    | "isReservedForOthers"
    | "leave"
    | "recheckIntervalMs"
    | "refusal"
    | "served"
>;

/** `retryAfterMs`: of a rejection; undefined if the request was served. */
export interface ShareOutcome {
    readonly retryAfterMs: number | undefined;
}

export class SharingEntry {
    private readonly queue: WaitQueue<InboundRequest, number>;

    public constructor(private readonly policy: SharePolicy, private readonly pool: UpstreamPool) {
        this.queue = new WaitQueue(policy);
    }

    /** Serves a request that occupies a slot for `durationMs`; resolves when it is sent or rejected. */
    public async serve(request: InboundRequest, durationMs: number): Promise<ShareOutcome> {
        const { signal } = new AbortController();
        try {
            for (;;) {
                const waitMs = request.route.objectiveMs * refusalObjectiveShare - (steadyNow() - request.startedAt);
                const isBehind = waitMs > 0 && this.policy.isBehindOthers(request);
                const index = isBehind ? undefined : this.tryAcquire(request);
                if (index !== undefined) {
                    return this.start(index, durationMs);
                }
                if (waitMs <= 0) {
                    return { retryAfterMs: this.policy.refusal(request)?.retryAfterMs ?? busyRetryMs };
                }
                this.policy.enter(request);
                const ms = Math.min(waitMs, this.policy.recheckIntervalMs(request) ?? recheckIntervalMs);
                const assigned = await this.queue.wait(request, ms, signal, () => this.tryAcquire(request));
                if (assigned !== undefined) {
                    return this.start(assigned, durationMs);
                }
            }
        }
        finally {
            this.policy.leave(request);
        }
    }

    private tryAcquire(request: InboundRequest): number | undefined {
        const selected = this.pool.select();
        if (selected === undefined || this.policy.isReservedForOthers(request, () => selected.isSpare)) {
            return undefined;
        }
        this.pool.acquire(selected.index);
        this.policy.served(request);
        return selected.index;
    }

    private start(index: number, durationMs: number): ShareOutcome {
        setTimeout(() => {
            this.pool.release(index);
            this.queue.retryAll();
        }, durationMs);
        return { retryAfterMs: undefined };
    }
}

/** Creates a request of an account; `work` in prompt tokens. */
export function createShareRequest(account: string, priority: number, objectiveMs: number): InboundRequest {
    return {
        id: "",
        service: "s",
        priority,
        route: { objectiveMs },
        metadata: { model: "", promptTokens: 0, promptParts: [], maxOutputTokens: 0, expectedOutputTokens: 0 },
        grant: { account },
        charge: noCharge,
        startedAt: steadyNow(),
        attemptedUpstreams: [],
    } as unknown as InboundRequest;
}
