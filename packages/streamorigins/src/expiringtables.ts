/** A table whose entries expire, bounded in number and bytes. */
import { steadyNow } from "@winchpath/core";

export interface TableLimits {
    readonly lifetimeMs: number;
    readonly maxEntries: number;
    /** Sum of the sizes given with the entries, in bytes. */
    readonly maxBytes: number;
}

interface Entry<V> {
    readonly key: string;
    readonly value: V;
    readonly bytes: number;
    readonly expiresAt: number;
}

/** Keeps entries in the order in which they were last put; the oldest are evicted first. */
export class ExpiringTable<V> {
    private readonly entries = new Map<string, Entry<V>>();
    /** One iterator for all removals: a new one would step over the places of all removed entries. */
    private iterator = this.entries.values();
    private head: Entry<V> | undefined;
    private totalBytes = 0;

    public constructor(private readonly limits: TableLimits, private readonly onEvict: (value: V) => void) {}

    public get size(): number {
        return this.entries.size;
    }

    public get bytes(): number {
        return this.totalBytes;
    }

    public get(key: string): V | undefined {
        const entry = this.entries.get(key);
        return entry === undefined || entry.expiresAt <= steadyNow() ? undefined : entry.value;
    }

    /** Adds or replaces an entry, whose lifetime begins anew. */
    public put(key: string, value: V, bytes: number): void {
        this.remove(key);
        this.entries.set(key, { key, value, bytes, expiresAt: steadyNow() + this.limits.lifetimeMs });
        this.totalBytes += bytes;
        this.removeExpired();
        this.evictExcess();
    }

    /** Values that have not expired, oldest first. */
    public values(): V[] {
        this.removeExpired();
        return [...this.entries.values()].map(({ value }) => value);
    }

    public removeExpired(): void {
        const now = steadyNow();
        for (let oldest = this.oldest(); oldest !== undefined && oldest.expiresAt <= now; oldest = this.oldest()) {
            this.remove(oldest.key);
        }
    }

    private evictExcess(): void {
        while (this.entries.size > this.limits.maxEntries || this.totalBytes > this.limits.maxBytes) {
            const oldest = this.oldest()!;
            this.remove(oldest.key);
            this.onEvict(oldest.value);
        }
    }

    private remove(key: string): void {
        this.totalBytes -= this.entries.get(key)?.bytes ?? 0;
        this.entries.delete(key);
    }

    private oldest(): Entry<V> | undefined {
        while (this.head === undefined || this.entries.get(this.head.key) !== this.head) {
            let next = this.iterator.next();
            if (next.done) {
                this.iterator = this.entries.values();
                next = this.iterator.next();
            }
            if (next.done) {
                this.head = undefined;
                return undefined;
            }
            this.head = next.value;
        }
        return this.head;
    }
}
