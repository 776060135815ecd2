/** What an entry knows of the quarantine, as the leader told it last. */
import { fingerprintOf, type RequestIdentity } from "./fingerprints.js";

export class QuarantineList {
    private key: Uint8Array | undefined;

    /** Takes in what the leader tells; an empty key says nothing. */
    public take(key: Uint8Array): void {
        if (key.length > 0) {
            this.key = key;
        }
    }

    /** Undefined until a leader has told the fleet's key. */
    public fingerprint(identity: RequestIdentity): string | undefined {
        return this.key === undefined ? undefined : fingerprintOf(this.key, identity);
    }
}
