/**
 * Random histories of leader changes and lost, delayed and unanswered orders: an engine is never ordered over its capacity.
 * Also guards against a leader that counts an order which its engine did not: a later order with that count, delivered
 * late, could be accepted in a state that it was not planned for.
 */
import { sleep } from "@winchpath/core";
import { expect } from "earl";
import { infiniteStream, integer, noBias, sample } from "fast-check";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { describeOrder, type EngineOrder, OrderReply } from "../index.js";
import { advanceTime } from "./mocktimes.js";
import {
    type FirstCheck,
    type ReportedDemand,
    type SendOrder,
    SimulatedEngine,
    SimulatedLeader,
} from "./simulatedengines.js";

/** Number of histories, one for each seed. */
const seedCount = Number(process.env.ROOM_SEEDS ?? 60);
/** Duration of the phase with injected faults, in milliseconds. */
const faultPhaseMs = 20_000;
/** Maximum delay of a late order, in milliseconds. */
const maxOrderDelayMs = 12_000;
/** Timeout of an order, in milliseconds. */
const callTimeoutMs = 600;
/** Interval at which demand changes and requests begin or end, in milliseconds. */
const stepMs = 500;
/** Minimum duration of a leadership; the maximum is three times as long, in milliseconds. */
const minLeadershipMs = 2000;
/** Time after the last late order until all demand must be met, in milliseconds: enough for two successive model loads. */
const recoveryMs = 28_000;

/** Shares of orders whose reply is lost, that are delivered late, and that are lost. */
const lostReplyShare = 0.15;
const delayedOrderShare = 0.2;
const lostOrderShare = 0.1;

/** Share of demand changes after which a burst of requests asks for models without adapters. */
const modelOnlyShare = 0.3;
const burstSize = 30;
const randomRange = 2 ** 30;
const adapterNames = ["m1/a1", "m1/a2", "m1/a3", "m1/a4", "m2/a1", "m2/a2"];
const modelNames = ["m1", "m2", "m3", "m4"];

/** Pseudorandom numbers in [0, 1). */
function randomFrom(seed: number): () => number {
    const [values] = sample(noBias(infiniteStream(integer({ min: 0, max: randomRange - 1 }))), { seed, numRuns: 1 });
    return () => values.next().value / randomRange;
}

const finalNeeds: readonly ReportedDemand[] = [
    { model: "m1", adapter: "", running: 2, waiting: burstSize },
    { model: "m1", adapter: "a3", running: 0, waiting: 3 },
    { model: "m1", adapter: "a4", running: 0, waiting: 3 },
];

const expectedPlacement = "m1/a3, m1/a4";

/** One engine under successive leaders, with changing demand. */
class History {
    public readonly engine: SimulatedEngine;
    private needs: readonly ReportedDemand[] = [];
    private leader: SimulatedLeader | undefined;
    private injectsFaults = true;

    public constructor(private readonly random: () => number, firstCheck: FirstCheck) {
        this.engine = new SimulatedEngine({ m1: ["a1"], m2: [] }, firstCheck);
    }

    public async run(): Promise<void> {
        let leaderUntil = 0;
        for (let at = 0; at < faultPhaseMs && this.engine.crashedBy === undefined; at += stepMs) {
            if (at >= leaderUntil) {
                this.changeLeader();
                leaderUntil = at + minLeadershipMs * (1 + 2 * this.random());
            }
            this.changeDemand();
            await advanceTime(stepMs);
        }
    }

    /** Ends all faults, and lets the leader satisfy the given demand. */
    public async recover(needs: readonly ReportedDemand[]): Promise<void> {
        this.injectsFaults = false;
        adapterNames.forEach(name => this.engine.release(name));
        this.needs = needs;
        await advanceTime(maxOrderDelayMs + recoveryMs);
    }

    public end(): void {
        this.leader?.end();
    }

    private changeLeader(): void {
        this.leader?.end();
        this.leader = new SimulatedLeader(
            this.engine,
            () => this.needs,
            (order, expected) => this.send(order, expected),
        );
        this.leader.start();
    }

    /** Reported demand and requests running on the engine vary independently, as if reports were lost. */
    private changeDemand(): void {
        for (const name of adapterNames) {
            if (this.random() < 0.3 && this.engine.holds(name)) {
                this.engine.use(name);
            }
            else if (this.random() < 0.4) {
                this.engine.release(name);
            }
        }
        if (this.random() < modelOnlyShare) {
            this.needs = modelNames.filter(() => this.random() < 0.5).map(model => ({
                model,
                adapter: "",
                running: 0,
                waiting: burstSize,
            }));
            return;
        }
        const adapters = adapterNames.map(name => ({ model: name.slice(0, 2), adapter: name.slice(3) }));
        const all = [...adapters, ...modelNames.map(model => ({ model, adapter: "" }))];
        this.needs = all.filter(() => this.random() < 0.4).map(item => ({
            ...item,
            running: this.random() < 0.5 ? 1 : 0,
            waiting: this.random() < 0.5 ? 3 : 0,
        }));
    }

    private readonly send: SendOrder = async (order, expected) => {
        const fate = this.injectsFaults ? this.random() : 1;
        if (fate < lostReplyShare) {
            this.engine.order(order, expected);
        }
        else if (fate < lostReplyShare + delayedOrderShare) {
            void this.deliverLate(order, expected);
        }
        if (fate < lostReplyShare + delayedOrderShare + lostOrderShare) {
            await sleep(callTimeoutMs);
            return OrderReply.unknown;
        }
        await sleep(1);
        return this.engine.order(order, expected);
    };

    private async deliverLate(order: EngineOrder, expected: number): Promise<void> {
        await sleep(2000 + this.random() * (maxOrderDelayMs - 2000));
        this.engine.order(order, expected);
    }
}

/** Runs one history; returns a description of what went wrong, if anything. */
async function findViolation(seed: number, firstCheck: FirstCheck): Promise<string | undefined> {
    const history = new History(randomFrom(seed), firstCheck);
    const { engine } = history;
    try {
        await history.run();
        await history.recover(finalNeeds);
    }
    finally {
        history.end();
    }
    if (engine.crashedBy !== undefined) {
        return `over capacity by ${describeOrder(engine.crashedBy)}`;
    }
    if (engine.ordersAhead.length > 0) {
        return `expected count too high: ${engine.ordersAhead.map(describeOrder).join(", ")}`;
    }
    const placed = engine.placed.sort().join(", ");
    return placed === expectedPlacement ? undefined : `final adapters: ${placed}`;
}

describe("engine capacity across leader changes", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 }));

    afterEach(() => mock.timers.reset());

    for (const firstCheck of ["number", "content"] as const) {
        it(`is never exceeded, and is fully used after recovery (seeds 1 to ${seedCount}, engine checks the ${firstCheck} first)`, async () => {
            const violations = [];
            for (let seed = 1; seed <= seedCount; seed++) {
                const violation = await findViolation(seed, firstCheck);
                violations.push(...violation === undefined ? [] : [`seed ${seed}: ${violation}`]);
            }
            expect(violations).toEqual([]);
        });
    }
});
