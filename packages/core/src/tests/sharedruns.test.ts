import { expect } from "earl";
import { describe, it } from "node:test";
import { Deferred, SharedRun } from "../index.js";

describe("SharedRun", () => {
    it("begins a run after each call, and shares it among all callers that wait", async () => {
        const runs: Deferred<number>[] = [];
        const shared = new SharedRun(() => {
            const run = new Deferred<number>();
            runs.push(run);
            return run.promise;
        });
        const first = shared.run();
        const later = [shared.run(), shared.run(), shared.run()];
        expect(runs.length).toEqual(1);
        runs[0].resolve(1);
        expect(await first).toEqual(1);
        await new Promise(resolve => setImmediate(resolve));
        expect(runs.length).toEqual(2);
        runs[1].resolve(2);
        expect(await Promise.all(later)).toEqual([2, 2, 2]);
    });

    it("runs again after a failure", async () => {
        let count = 0;
        const shared = new SharedRun(async () => {
            count += 1;
            if (count === 1) {
                throw new Error("first");
            }
            return count;
        });
        const results = [shared.run(), shared.run()].map(run => run.catch(() => "failed"));
        expect(await Promise.all(results)).toEqual(["failed", 2]);
    });
});
