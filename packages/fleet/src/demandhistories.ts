/** Demand history of an entry, for reports to a new leader. */
import { steadyNow } from "@winchpath/core";
import { halfLifeMs } from "./demands.js";
import { type ItemKey, itemMapKey } from "./items.js";

/** Items without requests for ten half-lives are removed, as almost nothing of their demand remains. */
const retentionMs = 10 * halfLifeMs;

/** Exponentially decaying request count of one item, with the leader's half-life. */
interface DecayedDemand {
    readonly key: ItemKey;
    requests: number;
    work: number;
    /** Monotonic time of the last update. */
    updatedAt: number;
}

export class DemandHistory {
    private readonly byItem = new Map<string, DecayedDemand>();

    public record(key: ItemKey, work: number): void {
        const name = itemMapKey(key);
        const before = this.decayed(name);
        this.byItem.set(name, { key, requests: before.requests + 1, work: before.work + work, updatedAt: steadyNow() });
    }

    /** Requests for an item and their work, decayed to the current time. */
    public decayed(name: string): { readonly requests: number; readonly work: number; } {
        const past = this.byItem.get(name);
        if (past === undefined) {
            return { requests: 0, work: 0 };
        }
        const decay = 2 ** (-(steadyNow() - past.updatedAt) / halfLifeMs);
        return { requests: past.requests * decay, work: past.work * decay };
    }

    public keys(): ItemKey[] {
        return [...this.byItem.values()].map(({ key }) => key);
    }

    public removeExpired(): void {
        const limit = steadyNow() - retentionMs;
        for (const [name, { updatedAt }] of this.byItem) {
            if (updatedAt < limit) {
                this.byItem.delete(name);
            }
        }
    }
}
