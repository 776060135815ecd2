/** Splits a stream of server-sent events, so that only complete events are forwarded. */

/** An event that is longer than this is given up, in bytes; until its end it is held in memory. */
export const maxEventBytes = 2 * 1024 * 1024;

const lineFeed = 10;
const carriageReturn = 13;
const colon = 58;

export interface SplitEvent {
    /** Undefined if the event has none, so that a stream cannot be resumed after it. */
    readonly id: string | undefined;
}

export class EventSplitter {
    private buffered: Buffer = Buffer.alloc(0);
    /** The last released bytes that contain an event; parsed only when asked, since streams have many events. */
    private lastEvents: Buffer | undefined;

    /** Adds a chunk and returns the bytes up to the end of the last event that is complete now; empty if there is none. */
    public push(chunk: Buffer): Buffer {
        const bytes = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
        // The last byte before the chunk may turn out to end a blank line now; earlier ones have been looked at.
        const end = endOfLastEvent(bytes, this.buffered.length - 1);
        this.buffered = bytes.subarray(end);
        const complete = bytes.subarray(0, end);
        if (end > 0 && (eventInitials.has(complete.readUInt16BE(0)) || lastEventIn(complete) !== undefined)) {
            this.lastEvents = complete;
        }
        return complete;
    }

    /** The last complete event; undefined if there is none. Comments and retry times are no events. */
    public get lastEvent(): SplitEvent | undefined {
        return this.lastEvents && lastEventIn(this.lastEvents);
    }

    /** Whether a complete event has arrived. */
    public get hasEvents(): boolean {
        return this.lastEvent !== undefined;
    }

    /** Bytes after the last complete event. */
    public get remainder(): Buffer {
        return this.buffered;
    }

    /** Whether the event that has begun is longer than {@link maxEventBytes}. */
    public get isEventTooLong(): boolean {
        return this.buffered.length > maxEventBytes;
    }

    /** Whether the remainder is part of an event, and not only blank lines and complete comments. */
    public get isInsideEvent(): boolean {
        const lines = linesOf(this.buffered);
        const unfinishedLine = lines.pop();
        return unfinishedLine !== "" || lines.some(line => line !== "" && line.charCodeAt(0) !== colon);
    }
}

/** Returns the offset after the last blank line that ends at `from` or later, which terminates an event; 0 if there is none. */
function endOfLastEvent(bytes: Buffer, from: number): number {
    for (let index = bytes.length - 1; index > 0 && index >= from; index--) {
        if (isLineEnd(bytes[index]) && endsBlankLine(bytes, index)) {
            return index + 1;
        }
    }
    return 0;
}

/** Lines end with LF, CRLF or CR. */
function isLineEnd(byte: number): boolean {
    return byte === lineFeed || byte === carriageReturn;
}

/** `index`: offset of the last byte of a line end. */
function endsBlankLine(bytes: Buffer, index: number): boolean {
    const isPair = bytes[index] === lineFeed && bytes[index - 1] === carriageReturn;
    const previous = bytes[isPair ? index - 2 : index - 1];
    if (previous === lineFeed && bytes[index] === carriageReturn && index === bytes.length - 1) {
        // The other half of a CRLF may follow.
        return false;
    }
    return isLineEnd(previous);
}

function lastEventIn(whole: Buffer): SplitEvent | undefined {
    let lastEvent: SplitEvent | undefined;
    let fields = new Map<string, string>();
    for (const line of linesOf(whole)) {
        if (line !== "") {
            const [, name, value] = fieldPattern.exec(line)!;
            fields.set(name, value);
            continue;
        }
        if (eventFields.some(name => fields.has(name))) {
            lastEvent = { id: fields.get("id") };
        }
        fields = new Map();
    }
    return lastEvent;
}

/** Name and value of a field; the name of a comment is empty. */
const fieldPattern = /^([^:]*)(?:: ?)?(.*)$/;
const eventFields = ["data", "event", "id"];
/** First two bytes of these names: what begins with them is taken for an event without parsing it. */
const eventInitials = new Set(eventFields.map(name => Buffer.from(name).readUInt16BE(0)));

function linesOf(bytes: Buffer): string[] {
    return bytes.toString("latin1").split(/\r\n|\r|\n/);
}
