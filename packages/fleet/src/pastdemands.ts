/** What an entry's callers have asked for, for a leader that has not heard it. */
import { steadyNow } from "@winchpath/core";
import { halfLifeMs } from "./demands.js";
import { type ItemKey, itemName } from "./items.js";

/** What was not asked for in this time is told to no new leader, in milliseconds: a thousandth of it would be left. */
const forgetMs = 10 * halfLifeMs;

/** Requests for one item, each counted less the longer ago it came, as the leader counts them. */
interface PastDemand {
    readonly key: ItemKey;
    requests: number;
    work: number;
    /** Steady time as of which they are counted. */
    at: number;
}

export class PastDemands {
    private readonly demands = new Map<string, PastDemand>();

    public remember(key: ItemKey, work: number): void {
        const name = itemName(key);
        const before = this.faded(name);
        this.demands.set(name, { key, requests: before.requests + 1, work: before.work + work, at: steadyNow() });
    }

    /** Requests for an item, and the work that they needed, as they count now. */
    public faded(name: string): { readonly requests: number; readonly work: number; } {
        const past = this.demands.get(name);
        if (past === undefined) {
            return { requests: 0, work: 0 };
        }
        const share = 2 ** (-(steadyNow() - past.at) / halfLifeMs);
        return { requests: past.requests * share, work: past.work * share };
    }

    public keys(): ItemKey[] {
        return [...this.demands.values()].map(({ key }) => key);
    }

    public forgetOld(): void {
        const limit = steadyNow() - forgetMs;
        for (const [name, { at }] of this.demands) {
            if (at < limit) {
                this.demands.delete(name);
            }
        }
    }
}
