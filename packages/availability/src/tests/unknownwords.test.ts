import { Metrics, silentLog } from "@winchpath/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { UnknownWords } from "../index.js";

describe("unsupported names from upstreams", () => {
    // Guards against new signals of upstreams being dropped without notice.
    it("are logged once per service, without their values, and in a bounded number", () => {
        const lines: unknown[] = [];
        const words = new UnknownWords({ ...silentLog, warn: (_event, values) => lines.push(values) }, new Metrics());
        words.note("s", "u1", ["server-mood"]);
        words.note("s", "u2", ["server-mood"]);
        words.note("t", "u3", ["server-mood", "x".repeat(500)]);
        expect(lines).toEqual([
            { service: "s", upstream: "u1", name: "server-mood" },
            { service: "t", upstream: "u3", name: "server-mood" },
            { service: "t", upstream: "u3", name: "x".repeat(64) },
        ]);
        words.note("s", "u1", Array.from({ length: 500 }, (_, index) => `w${index}`));
        expect(lines.length).toEqual(64);
    });
});
