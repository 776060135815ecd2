import { type Replica } from "@winchpath/consensus";
import { silentLog } from "@winchpath/core";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { SlotGranter } from "../slotgranters.js";

describe("a host that leases retry slots", () => {
    let leading: { term: bigint; isFirst: boolean; leadershipAgeMs: number; quorumAgeMs: number; } | undefined;
    let granter: SlotGranter;
    let sequence: number;

    beforeEach(() => {
        mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
        sequence = 0;
        leading = { term: 1n, isFirst: true, leadershipAgeMs: 0, quorumAgeMs: 0 };
        granter = new SlotGranter(
            () => ({ readyLeadership: leading }) as unknown as Replica,
            () => ({ ratio: 0.2, slack: 20, windowMs: 10_000 }),
            silentLog,
        );
    });
    afterEach(() => mock.timers.reset());

    function ask(held: number, term: number): number | undefined {
        sequence += 1;
        const services = [{ service: "s", held, used: 0, wanted: 20 }];
        return granter.processReports({ entry: "e", process: 1, sequence, term, services })?.services[0]?.slots;
    }

    // Guards against a leader that has been replaced without knowing.
    it("leases none without quorum contact", () => {
        expect(ask(0, 0)).toEqual(20);
        leading!.quorumAgeMs = 2000;
        expect(ask(20, 1)).toEqual(undefined);
        leading = undefined;
        expect(ask(20, 1)).toEqual(undefined);
    });

    // Guards against a record of an earlier leadership of the host: another one may have led in between.
    it("knows nothing of its earlier leaderships", () => {
        expect(ask(0, 0)).toEqual(20);
        leading = { term: 3n, isFirst: false, leadershipAgeMs: 0, quorumAgeMs: 0 };
        expect(ask(5, 2)).toEqual(5);
        expect(ask(5, 3)).toEqual(5);
    });

    it("takes the time since its election into account, not since the first report", () => {
        leading = { term: 3n, isFirst: false, leadershipAgeMs: 60_000, quorumAgeMs: 0 };
        expect(ask(0, 2)).toEqual(20);
    });
});
