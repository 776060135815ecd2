import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { EventSplitter } from "../index.js";
import { lineEnds, threeEvents } from "./brokenresponses.js";

/** Pushes the text in pieces that end at `cuts`. */
function splitAt(text: string, cuts: readonly number[]) {
    const splitter = new EventSplitter();
    const ends = [...new Set(cuts.map(cut => cut % (text.length + 1))), text.length].sort((a, b) => a - b);
    const released = ends.map((end, index) => splitter.push(Buffer.from(text.slice(ends[index - 1] ?? 0, end))));
    return { splitter, released };
}

describe("a splitter of event streams", () => {
    it("tells the id of the last event, if that has one, and ignores comments and retry times", () => {
        const lastEventOf = (text: string) => {
            const splitter = new EventSplitter();
            text.split(/(?<=\n\n)/).forEach(part => splitter.push(Buffer.from(part)));
            return splitter.lastEvent;
        };
        expect(lastEventOf("id: 1\ndata: a\n\n: ping\n\nretry: 5\n\n")).toEqual({ id: "1" });
        expect(lastEventOf("id:1\ndata: a\n\ndata: b\n\n")).toEqual({ id: undefined });
        expect(lastEventOf(": ping\n\nretry: 5\n\n")).toEqual(undefined);
    });

    for (const [name, lineEnd] of Object.entries(lineEnds)) {
        // Guards against streams that are held back until they end because their line ends are not recognized.
        it(`releases each event as soon as it is complete, with lines that end with ${name}`, () => {
            const splitter = new EventSplitter();
            const released = threeEvents(lineEnd).map(event => splitter.push(Buffer.from(event)).toString());
            expect(released).toEqual([...threeEvents(lineEnd)]);
        });

        it(`releases all bytes and the last id whatever the pieces, with lines that end with ${name}`, () => {
            fc.assert(fc.property(fc.array(fc.nat()), cuts => {
                const text = threeEvents(lineEnd).join("");
                const { splitter, released } = splitAt(text, cuts);
                const bytes = Buffer.concat([...released, splitter.remainder]);
                expect(bytes.toString()).toEqual(text);
                expect(splitter.lastEvent).toEqual({ id: "3" });
                // No release ends inside an event.
                const events = threeEvents(lineEnd);
                const boundaries = events.map((_, index) => events.slice(0, index + 1).join("").length);
                const offsets = released.map((_, index) => Buffer.concat(released.slice(0, index + 1)).length);
                expect(offsets.filter(offset => offset > 0 && !boundaries.includes(offset))).toEqual([]);
            }));
        });
    }
});
