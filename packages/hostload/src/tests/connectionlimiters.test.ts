import { expect } from "earl";
import fc from "fast-check";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { ConnectionLimiter } from "../index.js";

describe("ConnectionLimiter", () => {
    let limiter: ConnectionLimiter;

    beforeEach(() => {
        mock.timers.enable({ apis: ["Date"] });
        limiter = new ConnectionLimiter();
        limiter.setObjective(1000);
    });

    afterEach(() => mock.timers.reset());

    it("accepts bursts that end within a fifth of the objective", () => {
        const admitted: boolean[] = [];
        for (let index = 0; index < 20; index++) {
            admitted.push(limiter.admit());
            mock.timers.tick(10);
        }
        expect(admitted.every(each => each)).toEqual(true);
    });

    it("rejects all that wait once the queue has stood for longer, until it is empty", () => {
        Array.from({ length: 8 }, () => limiter.admit());
        mock.timers.tick(201);
        expect([limiter.admit(), limiter.admit()]).toEqual([false, false]);
        limiter.recordEmpty();
        expect(limiter.admit()).toEqual(true);
    });

    it("lets the queue stand for two objectives where nobody has told that this host is short of anything", () => {
        Array.from({ length: 8 }, () => limiter.admit(false));
        mock.timers.tick(2000);
        expect(limiter.admit(false)).toEqual(true);
        mock.timers.tick(1);
        expect([limiter.admit(false), limiter.admit(false)]).toEqual([false, false]);
        limiter.recordEmpty();
        expect(limiter.admit(false)).toEqual(true);
    });

    it("accepts the few connections that a process finds in turns between which it was not scheduled", () => {
        const admitted: boolean[] = [];
        for (let index = 0; index < 8; index++) {
            admitted.push(limiter.admit());
            mock.timers.tick(82);
        }
        expect(admitted.every(each => each)).toEqual(true);
    });

    it("doesn't take connections that come one after the other for a queue, whatever the time", () => {
        fc.assert(fc.property(fc.array(fc.nat(60_000), { maxLength: 50 }), gaps =>
            gaps.every(ms => {
                limiter.recordEmpty();
                mock.timers.tick(ms);
                return limiter.admit();
            })));
    });

    it("leaves time for bursts where objectives are very short", () => {
        limiter.setObjective(10);
        limiter.admit();
        mock.timers.tick(50);
        expect(limiter.admit()).toEqual(true);
    });
});
