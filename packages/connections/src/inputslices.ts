/**
 * Cuts input into slices for an HTTP parser, so that its user can act between two requests: a slice ends with the first
 * request that is complete in it, or is so short that few requests fit.
 */

/** Longest slice of a head, in bytes. */
const maxHeadSlice = 4096;
/** Longest slice of a body without a length, after which further requests may follow, in bytes. */
const maxChunkedSlice = 1024;
/** Bytes of the shortest request before its empty line: `GET / HTTP/1.1`. */
const minRequestBytes = 14;
const endOfHead = "\n\r\n";
const lineFeed = 10;

/** Where the parser is: in or before a head, or in a body of which `bodyLeft` bytes at most are missing, if known. */
export type InputPhase = { readonly kind: "head"; } | { readonly kind: "body"; readonly bodyLeft: number | undefined; };

/** Number of chunks in a slice of a chunked body, at most: each has a line for its size, and a line end of its own. */
export function countChunks(slice: Buffer): number {
    const linesPerChunk = 2;
    let lines = 1;
    for (let at = slice.indexOf(lineFeed); at !== -1; at = slice.indexOf(lineFeed, at + 1)) {
        lines += 1;
    }
    return lines / linesPerChunk;
}

/** Length of the next slice. */
export function sliceLength(input: Buffer, phase: InputPhase): number {
    if (phase.kind === "body") {
        return Math.min(input.length, Math.max(maxChunkedSlice, phase.bodyLeft ?? 0));
    }
    const end = input.indexOf(endOfHead, minRequestBytes, "latin1");
    return Math.min(input.length, maxHeadSlice, end === -1 ? maxHeadSlice : end + endOfHead.length);
}
