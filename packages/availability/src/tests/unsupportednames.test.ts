import { Metrics, silentLog } from "@winchpath/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { UnsupportedNameReporter } from "../index.js";

describe("unsupported names from upstreams", () => {
    // Guards against new signals of upstreams being dropped without notice.
    it("are logged once per service, without their values, and in a bounded number", () => {
        const lines: unknown[] = [];
        const words = new UnsupportedNameReporter(
            { ...silentLog, warn: (_event, values) => lines.push(values) },
            new Metrics(),
        );
        words.report("s", "u1", ["server-mood"]);
        words.report("s", "u2", ["server-mood"]);
        words.report("t", "u3", ["server-mood", "x".repeat(500)]);
        expect(lines).toEqual([
            { service: "s", upstream: "u1", name: "server-mood" },
            { service: "t", upstream: "u3", name: "server-mood" },
            { service: "t", upstream: "u3", name: "x".repeat(64) },
        ]);
        words.report("s", "u1", Array.from({ length: 500 }, (_, index) => `w${index}`));
        expect(lines.length).toEqual(64);
    });
});
