import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { EventSplitter } from "../index.js";
import { lineEnds, threeEvents } from "./brokenresponses.js";

/** Pushes the text in pieces that end at `cuts`. */
function splitAt(text: string, cuts: readonly number[]) {
    const splitter = new EventSplitter();
    const ends = [...new Set(cuts.map(cut => cut % (text.length + 1))), text.length].sort((a, b) => a - b);
    const results = ends.map((end, index) => splitter.push(Buffer.from(text.slice(ends[index - 1] ?? 0, end))));
    return { splitter, results };
}

describe("a splitter of event streams", () => {
    for (const [name, lineEnd] of Object.entries(lineEnds)) {
        // Guards against streams that are held back until they end because their line ends are not recognized.
        it(`releases each event as soon as it is complete, with lines that end with ${name}`, () => {
            const splitter = new EventSplitter();
            const released = threeEvents(lineEnd).map(event => splitter.push(Buffer.from(event)).bytes.toString());
            expect(released).toEqual([...threeEvents(lineEnd)]);
        });

        it(`releases all bytes and the last id whatever the pieces, with lines that end with ${name}`, () => {
            fc.assert(fc.property(fc.array(fc.nat()), cuts => {
                const text = threeEvents(lineEnd).join("");
                const { splitter, results } = splitAt(text, cuts);
                const bytes = Buffer.concat([...results.map(result => result.bytes), splitter.remainder]);
                expect(bytes.toString()).toEqual(text);
                expect(results.map(({ lastId }) => lastId).filter(id => id !== undefined).at(-1)).toEqual("3");
            }));
        });
    }
});
