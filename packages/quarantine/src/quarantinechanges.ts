/** Status of listed requests, and the changes to the list. */
import { type ListingMatch, Listings } from "./listings.js";

/** Suspected requests are served, barred ones are refused. */
export type Standing = "suspected" | "barred";

/** Requests with a feature, or a combination of features, that is listed. */
export interface ListedRequest {
    /** Identifies the feature or combination. */
    readonly fingerprint: string;
    /** Size of the body in bytes, if the features include a whole request; otherwise 0. */
    readonly size: number;
    readonly standing: Standing;
    /** Number of occasions on which upstreams crashed while running it. */
    readonly occasions: number;
}

/** Changes after a position. */
export interface QuarantineChanges {
    readonly position: number;
    /** Whether `listed` is the complete list. */
    readonly whole: boolean;
    readonly listed: readonly ListedRequest[];
    /** Fingerprints that are no longer listed. */
    readonly removed: readonly string[];
}

/** Removals kept; an entry that is further behind gets the complete list. */
const maxRemovals = 1000;

/** The list sent to entries, with the order of its changes. */
export class QuarantineChangeLog {
    private readonly requests = new Listings();
    /** Position of the latest change to each listed combination. */
    private readonly positions = new Map<string, number>();
    private removals: { readonly fingerprint: string; readonly position: number; }[] = [];
    private oldestPosition = 0;

    /** `latestPosition`: position of the last change before this log began. */
    public constructor(private latestPosition = 0) {}

    public get position(): number {
        return this.latestPosition;
    }

    public get isEmpty(): boolean {
        return this.requests.size === 0;
    }

    public get(fingerprint: string): ListedRequest | undefined {
        return this.requests.get(fingerprint);
    }

    public all(): ListedRequest[] {
        return this.requests.all();
    }

    public match(features: readonly string[]): ListingMatch {
        return this.requests.match(features);
    }

    /** Records a change of something else that is sent to entries. */
    public advance(): void {
        this.latestPosition += 1;
    }

    public put(request: ListedRequest): void {
        const previous = this.get(request.fingerprint);
        if (previous?.standing !== request.standing || previous.occasions !== request.occasions) {
            this.latestPosition += 1;
            this.requests.put(request);
            this.positions.set(request.fingerprint, this.latestPosition);
        }
    }

    public remove(fingerprint: string): void {
        if (this.requests.delete(fingerprint) === undefined) {
            return;
        }
        this.positions.delete(fingerprint);
        this.latestPosition += 1;
        this.removals.push({ fingerprint, position: this.latestPosition });
        while (this.removals.length > maxRemovals) {
            this.oldestPosition = this.removals.shift()!.position;
        }
    }

    /** Returns the complete list for a position that is too old or belongs to another log. */
    public since(position: number): QuarantineChanges {
        const whole = position < this.oldestPosition || position > this.latestPosition || position === 0;
        const isNewer = (at: { readonly position: number; }) => whole || at.position > position;
        return {
            position: this.latestPosition,
            whole,
            listed: this.requests.all().filter(({ fingerprint }) =>
                isNewer({ position: this.positions.get(fingerprint)! })
            ),
            removed: whole ? [] : this.removals.filter(isNewer).map(({ fingerprint }) => fingerprint),
        };
    }
}
