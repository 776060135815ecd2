/** What the fleet holds of one request, and how that changes. */

/** Suspected ones are served; barred ones are refused. */
export type Standing = "suspected" | "barred";

export interface ListedRequest {
    readonly fingerprint: string;
    /** Of its body, in bytes. */
    readonly size: number;
    readonly standing: Standing;
    /** Occasions on which upstreams ended under it. */
    readonly occasions: number;
}

/** What changed after a position. */
export interface QuarantineChanges {
    readonly position: number;
    /** Whether `listed` is everything there is. */
    readonly whole: boolean;
    readonly listed: readonly ListedRequest[];
    /** Fingerprints that stand for nothing any more. */
    readonly removed: readonly string[];
}

interface Placed {
    readonly request: ListedRequest;
    readonly position: number;
}

/** Removals that an entry may be behind before it is told everything anew. */
const rememberedRemovals = 1000;

/** What entries are told, in the order in which it changed. */
export class StandingLog {
    private readonly placed = new Map<string, Placed>();
    private removals: { readonly fingerprint: string; readonly position: number; }[] = [];
    private floor = 0;

    /** `newest`: position of the last change before. */
    public constructor(private newest = 0) {}

    public get position(): number {
        return this.newest;
    }

    public get isEmpty(): boolean {
        return this.placed.size === 0;
    }

    public get(fingerprint: string): ListedRequest | undefined {
        return this.placed.get(fingerprint)?.request;
    }

    public all(): ListedRequest[] {
        return [...this.placed.values()].map(({ request }) => request);
    }

    /** Something else that entries are told has changed. */
    public touch(): void {
        this.newest += 1;
    }

    public put(request: ListedRequest): void {
        const before = this.get(request.fingerprint);
        if (before?.standing !== request.standing || before.occasions !== request.occasions) {
            this.newest += 1;
            this.placed.set(request.fingerprint, { request, position: this.newest });
        }
    }

    public remove(fingerprint: string): void {
        if (!this.placed.delete(fingerprint)) {
            return;
        }
        this.newest += 1;
        this.removals.push({ fingerprint, position: this.newest });
        while (this.removals.length > rememberedRemovals) {
            this.floor = this.removals.shift()!.position;
        }
    }

    /** A position that was never reached here is another log's: everything is told. */
    public since(position: number): QuarantineChanges {
        const whole = position < this.floor || position > this.newest || position === 0;
        const isNews = (at: { readonly position: number; }) => whole || at.position > position;
        return {
            position: this.newest,
            whole,
            listed: [...this.placed.values()].filter(isNews).map(({ request }) => request),
            removed: whole ? [] : this.removals.filter(isNews).map(({ fingerprint }) => fingerprint),
        };
    }
}
