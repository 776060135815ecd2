/** Recognizes the event that marks the end of a chat completion stream. */

const lineEnd = /\r\n|\r|\n/;
const marker = /^data: ?\[DONE\]$/;
const dataField = /^data(:|$)/;

/**
 * Whether the last event that has data is the end marker, and a blank line has ended it.
 * `tail`: last bytes of the stream; `isWholeStream`: whether it starts with the first byte, and so with a complete line.
 */
export function endsWithMarker(tail: Buffer, isWholeStream: boolean): boolean {
    const lines = tail.toString("latin1").split(lineEnd);
    // The text after the last line end is an unfinished line.
    lines.pop();
    const completeLines = isWholeStream ? lines : lines.slice(1);
    const lastData = completeLines.findLastIndex(line => dataField.test(line));
    return lastData >= 0 && marker.test(completeLines[lastData]) && completeLines.includes("", lastData);
}
