/** Tracks how much of a response the client has received, so that a retry can continue from there. */
import { createHash, type Hash } from "node:crypto";
import { endsWithMarker } from "./endmarkers.js";

/** Number of final bytes searched for the end marker. */
const tailBytes = 64;

export class ResponseProgress {
    public headSent = false;
    private tail: Buffer = Buffer.alloc(0);
    private sentBytes = 0;
    private readonly sentHash: Hash = createHash("sha256");

    /** Body bytes sent to the client. */
    public get bytes(): number {
        return this.sentBytes;
    }

    public add(bytes: Uint8Array): void {
        this.sentBytes += bytes.length;
        this.sentHash.update(bytes);
        this.tail = Buffer.concat([this.tail, bytes.subarray(-tailBytes)]).subarray(-tailBytes);
    }

    /** Whether the stream that was sent to the client ends with its end marker. */
    public get endsWithMarker(): boolean {
        return endsWithMarker(this.tail, this.sentBytes === this.tail.length);
    }

    /** Creates a filter for the response of a retry. */
    public createReplayFilter(): ReplayFilter {
        return new ReplayFilter(this.sentBytes, this.sentHash.copy().digest("hex"));
    }
}

/** Removes the bytes that the client already has, after verifying that they match the earlier attempt's. */
export class ReplayFilter {
    private readonly prefixHash: Hash = createHash("sha256");
    private remainingBytes: number;

    public constructor(bytes: number, private readonly expected: string) {
        this.remainingBytes = bytes;
    }

    /** Whether the whole prefix has been received. */
    public get done(): boolean {
        return this.remainingBytes === 0;
    }

    /** Returns the part of `bytes` that is new to the client, or undefined if the prefixes differ. */
    public filter(bytes: Uint8Array): Uint8Array | undefined {
        if (this.remainingBytes === 0) {
            return bytes;
        }
        const overlap = Math.min(this.remainingBytes, bytes.length);
        this.prefixHash.update(bytes.subarray(0, overlap));
        this.remainingBytes -= overlap;
        if (this.remainingBytes > 0) {
            return new Uint8Array();
        }
        return this.prefixHash.copy().digest("hex") === this.expected ? bytes.subarray(overlap) : undefined;
    }
}
