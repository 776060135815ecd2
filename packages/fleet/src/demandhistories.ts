/** Demand history of an entry, for reports to a new leader. */
import { steadyNow } from "@winchpath/core";
import { halfLifeMs } from "./demands.js";
import { type ItemKey, itemMapKey } from "./items.js";
import { type UnservedRequests, UnservedSpan } from "./unservedspans.js";

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
    private readonly unservedSpans = new Map<string, UnservedSpan>();

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

    /** Records that an upstream has begun to answer a request for an item. */
    public recordServed(name: string): void {
        this.unservedSpans.delete(name);
    }

    /** Records that no upstream answered a request for an item. */
    public recordUnserved(name: string): void {
        const span = this.unservedSpans.get(name) ?? new UnservedSpan();
        this.unservedSpans.set(name, span);
        span.add(1);
    }

    /** Requests for an item that have gone unserved since the last served one; undefined if there are none. */
    public unserved(name: string): UnservedRequests | undefined {
        return this.unservedSpans.get(name)?.current;
    }

    public keys(): ItemKey[] {
        return [...this.byItem.values()].map(({ key }) => key);
    }

    public removeExpired(): void {
        const limit = steadyNow() - retentionMs;
        for (const [name, { updatedAt }] of this.byItem) {
            if (updatedAt < limit) {
                this.byItem.delete(name);
                this.unservedSpans.delete(name);
            }
        }
    }
}
