/** How far the caller has got the answer, so that another attempt can go on from there. */
import { createHash, type Hash } from "node:crypto";

/** Bytes at the end of an answer in which its end mark has to stand. */
const tailBytes = 64;

export class Progress {
    public headSent = false;
    private tail: Buffer = Buffer.alloc(0);
    private sentBytes = 0;
    private readonly sent: Hash = createHash("sha256");

    /** Body bytes that were handed to the caller. */
    public get bytes(): number {
        return this.sentBytes;
    }

    public add(bytes: Uint8Array): void {
        this.sentBytes += bytes.length;
        this.sent.update(bytes);
        this.tail = Buffer.concat([this.tail, bytes.subarray(-tailBytes)]).subarray(-tailBytes);
    }

    /** Whether the caller's answer ends with `mark`, give or take white space. */
    public endsWith(mark: Buffer): boolean {
        return this.tail.includes(mark);
    }

    /** Checks that a second answer begins as the first did, and leaves out what the caller has already. */
    public replay(): Replay {
        return new Replay(this.sentBytes, this.sent.copy().digest("hex"));
    }
}

/** The beginning of an answer that has to be the same as that of an earlier attempt. */
export class Replay {
    private readonly seen: Hash = createHash("sha256");
    private left: number;

    public constructor(bytes: number, private readonly expected: string) {
        this.left = bytes;
    }

    /** Whether the whole beginning was seen. */
    public get done(): boolean {
        return this.left === 0;
    }

    /** What of `bytes` is new to the caller; undefined where the beginnings differ. */
    public pass(bytes: Uint8Array): Uint8Array | undefined {
        if (this.left === 0) {
            return bytes;
        }
        const known = Math.min(this.left, bytes.length);
        this.seen.update(bytes.subarray(0, known));
        this.left -= known;
        if (this.left > 0) {
            return new Uint8Array();
        }
        return this.seen.copy().digest("hex") === this.expected ? bytes.subarray(known) : undefined;
    }
}
