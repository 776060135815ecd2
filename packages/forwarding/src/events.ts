/** Cuts a stream of server-sent events into whole events, so that a broken one is never handed on. */

const lineFeed = 10;
const carriageReturn = 13;

export interface WholeEvents {
    /** Bytes up to the end of the last whole event; empty where there is none. */
    readonly bytes: Buffer;
    /** Id of the last whole event that bears one. */
    readonly lastId: string | undefined;
}

export class EventSplitter {
    private rest: Buffer = Buffer.alloc(0);

    /** Takes in a chunk, and gives what is whole by now. */
    public push(chunk: Buffer): WholeEvents {
        const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
        const end = endOfLastEvent(bytes);
        this.rest = bytes.subarray(end);
        const whole = bytes.subarray(0, end);
        return { bytes: whole, lastId: end === 0 ? undefined : lastIdIn(whole) };
    }

    /** What came behind the last whole event. */
    public get remainder(): Buffer {
        return this.rest;
    }
}

/** An event ends with an empty line. */
function endOfLastEvent(bytes: Buffer): number {
    for (let index = bytes.length - 1; index > 0; index--) {
        if (bytes[index] !== lineFeed) {
            continue;
        }
        const before = bytes[index - 1] === carriageReturn ? index - 2 : index - 1;
        if (before >= 0 && bytes[before] === lineFeed) {
            return index + 1;
        }
    }
    return 0;
}

function lastIdIn(whole: Buffer): string | undefined {
    const ids = [...whole.toString("latin1").matchAll(/^id: ?([^\r\n]*)\r?$/gm)];
    return ids.at(-1)?.[1];
}
