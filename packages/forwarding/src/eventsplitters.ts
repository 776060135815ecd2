/** Splits a stream of server-sent events, so that only complete events are forwarded. */

const lineFeed = 10;
const carriageReturn = 13;

export interface CompleteEvents {
    /** Bytes up to the end of the last complete event; empty if there is none. */
    readonly bytes: Buffer;
    /** Id of the last complete event that has one. */
    readonly lastId: string | undefined;
}

export class EventSplitter {
    private buffered: Buffer = Buffer.alloc(0);

    /** Adds a chunk and returns the events that are now complete. */
    public push(chunk: Buffer): CompleteEvents {
        const bytes = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
        const end = endOfLastEvent(bytes);
        this.buffered = bytes.subarray(end);
        const whole = bytes.subarray(0, end);
        return { bytes: whole, lastId: end === 0 ? undefined : lastIdIn(whole) };
    }

    /** Bytes after the last complete event. */
    public get remainder(): Buffer {
        return this.buffered;
    }
}

/** Returns the offset after the last blank line, which terminates an event. */
function endOfLastEvent(bytes: Buffer): number {
    for (let index = bytes.length - 1; index > 0; index--) {
        if (isLineEnd(bytes[index]) && endsLine(bytes, startOfLineEnd(bytes, index) - 1)) {
            return index + 1;
        }
    }
    return 0;
}

/** Lines end with LF, CRLF or CR. */
function isLineEnd(byte: number): boolean {
    return byte === lineFeed || byte === carriageReturn;
}

/** Offset of the first byte of the line end whose last byte is at `index`. */
function startOfLineEnd(bytes: Buffer, index: number): number {
    return bytes[index] === lineFeed && bytes[index - 1] === carriageReturn ? index - 1 : index;
}

function endsLine(bytes: Buffer, index: number): boolean {
    return index >= 0 && isLineEnd(bytes[index]);
}

function lastIdIn(whole: Buffer): string | undefined {
    const ids = [...whole.toString("latin1").matchAll(/^id: ?([^\r\n]*)\r?$/gm)];
    return ids.at(-1)?.[1];
}
