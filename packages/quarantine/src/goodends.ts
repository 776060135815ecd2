/** Requests that came to a good end lately at this process: what ends upstreams never does. */
import { steadyNow } from "@winchpath/core";

/**
 * An equal request that ended well within this time is no cause, in milliseconds. Without it, a request that
 * everybody sends was there at each end while all upstreams of a service failed one after the other.
 */
const goodMs = 10_000;
/** Requests that are remembered; the oldest give way. A busy entry ends 130 in a second. */
const mostGood = 2048;

export class GoodEnds {
    /** Steady time of the last good end, oldest first. */
    private readonly ends = new Map<string, number>();

    public note(fingerprint: string): void {
        this.ends.delete(fingerprint);
        this.ends.set(fingerprint, steadyNow());
        const [oldest] = this.ends.keys();
        if (this.ends.size > mostGood) {
            this.ends.delete(oldest);
        }
    }

    public has(fingerprint: string): boolean {
        return steadyNow() - (this.ends.get(fingerprint) ?? Number.NEGATIVE_INFINITY) < goodMs;
    }
}
