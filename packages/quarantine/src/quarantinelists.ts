/** An entry's copy of the quarantine list, as last received from the leader. */
import { featuresOf, isPart } from "./features.js";
import { fingerprintOf, PartFingerprints, type RequestIdentity } from "./fingerprints.js";
import { type ListingMatch, Listings, noMatch } from "./listings.js";
import { type ListedRequest, type QuarantineChanges } from "./quarantinechanges.js";

export class QuarantineList {
    private key: Uint8Array | undefined;
    private parts: PartFingerprints | undefined;
    private readonly listed = new Listings();
    /** Number of listed combinations with a whole request, by its body size. */
    private readonly countBySize = new Map<number, number>();
    /** Number of listed combinations with a part of a prompt. */
    private partCount = 0;
    private appliedPosition = 0;

    /** Position of the last change that was applied; 0 if there is none. */
    public get position(): number {
        return this.appliedPosition;
    }

    /** Sets the fleet's fingerprint key; an empty one is ignored. */
    public setKey(key: Uint8Array): void {
        if (key.length > 0 && (this.key === undefined || Buffer.compare(this.key, key) !== 0)) {
            this.key = key;
            this.parts = new PartFingerprints(key);
        }
    }

    public applyChanges({ position, whole, listed, removed }: QuarantineChanges): void {
        const obsolete = whole ? this.listed.all().map(({ fingerprint }) => fingerprint) : removed;
        obsolete.forEach(fingerprint => this.drop(fingerprint));
        listed.forEach(request => this.put(request));
        this.appliedPosition = position;
    }

    public all(): ListedRequest[] {
        return this.listed.all();
    }

    /** Undefined until a leader has sent the fingerprint key. */
    public fingerprint(identity: RequestIdentity): string | undefined {
        return this.key === undefined ? undefined : fingerprintOf(this.key, identity);
    }

    /** Features for the shared parts of the prompt; empty until a leader has sent the fingerprint key. */
    public partFeatures({ prompt }: RequestIdentity): string[] {
        return prompt === undefined ? [] : this.parts?.of(prompt) ?? [];
    }

    /**
     * What is listed about a request. The whole request is fingerprinted only if some listed one has the same body size,
     * which avoids the cost for nearly all requests: 15 µs for 5 KB.
     */
    public match(identity: RequestIdentity): ListingMatch {
        if (this.listed.size === 0) {
            return noMatch;
        }
        const fingerprint = this.countBySize.has(identity.body.length) ? this.fingerprint(identity) : undefined;
        const parts = this.partCount > 0 ? this.partFeatures(identity) : [];
        return this.listed.match(fingerprint === undefined ? parts : [fingerprint, ...parts]);
    }

    private put(request: ListedRequest): void {
        this.drop(request.fingerprint);
        this.listed.put(request);
        this.count(request, 1);
    }

    private drop(fingerprint: string): void {
        const request = this.listed.delete(fingerprint);
        if (request !== undefined) {
            this.count(request, -1);
        }
    }

    private count({ fingerprint, size }: ListedRequest, change: 1 | -1): void {
        const features = featuresOf(fingerprint);
        if (features.some(isPart)) {
            this.partCount += change;
        }
        if (!features.every(isPart)) {
            const count = (this.countBySize.get(size) ?? 0) + change;
            if (count === 0) {
                this.countBySize.delete(size);
            }
            else {
                this.countBySize.set(size, count);
            }
        }
    }
}
