/**
 * Deterministic simulation for a state space search: one engine, two leaders whose terms overlap, and the orders in
 * flight between them. The leaders run the production code.
 */
import { mock } from "node:test";
import { describeOrder, type EngineOrder, OrderReply } from "../index.js";
import { advanceTime } from "./mocktimes.js";
import {
    type FirstCheck,
    type ReportedDemand,
    type SendOrder,
    SimulatedEngine,
    SimulatedLeader,
} from "./simulatedengines.js";

/** Time until a leader has collected enough reports to send its first order, in milliseconds. */
const warmUpMs = 1700;
/** Timeout of an order, in milliseconds. */
const callTimeoutMs = 600;
/** The action "pass" lets time pass until another order is sent, but at most this long, in milliseconds. */
const maxPassMs = 2000;
const stepMs = 50;
const startTimeMs = 1_000_000;
/** An adapter with running requests that no leader is informed of. */
const unreportedAdapter = "m1/a1";

const firstLeaderNeeds: readonly ReportedDemand[] = [{ model: "m1", adapter: "a2", running: 0, waiting: 3 }];
const nextLeaderNeeds: readonly ReportedDemand[] = [{ model: "m1", adapter: "a3", running: 0, waiting: 3 }];

/** The next event of a simulation. Orders are numbered in the order in which they were sent. */
export type Action =
    | { readonly kind: "pass" | "next-leader" | "release"; }
    /** An order reaches the engine; the reply is lost if `isAnswered` is false. */
    | { readonly kind: "arrive"; readonly order: number; readonly isAnswered: boolean; };

interface PendingOrder {
    readonly number: number;
    readonly sender: number;
    readonly order: EngineOrder;
    readonly expected: number;
    /** Undefined once the order has timed out at its sender. */
    answer: ((reply: OrderReply) => void) | undefined;
}

export class Simulation {
    public readonly engine: SimulatedEngine;
    private readonly leaders: SimulatedLeader[] = [];
    private pendingOrders: PendingOrder[] = [];
    private sentCount = 0;
    private isInUse = true;

    private constructor(firstCheck: FirstCheck) {
        this.engine = new SimulatedEngine({ m1: ["a1"] }, firstCheck);
        this.engine.use(unreportedAdapter);
    }

    /** Replays actions from the initial state with mocked timers, which {@link Simulation.end} restores. */
    public static async play(firstCheck: FirstCheck, actions: readonly Action[]): Promise<Simulation> {
        mock.timers.enable({ apis: ["Date", "setTimeout"], now: startTimeMs });
        const simulation = new Simulation(firstCheck);
        simulation.startLeader(firstLeaderNeeds);
        await advanceTime(warmUpMs);
        for (const action of actions) {
            await simulation.perform(action);
        }
        return simulation;
    }

    /** Lets all tasks stop before the timers are reset, so that none clears a timer of a later simulation. */
    public async end(): Promise<void> {
        this.leaders.forEach(leader => leader.end());
        await advanceTime(stepMs);
        mock.timers.reset();
    }

    /** Actions that are possible in the current state. */
    public availableActions(): Action[] {
        const deliveries = this.pendingOrders.flatMap(({ number, answer }): Action[] => [
            { kind: "arrive", order: number, isAnswered: answer !== undefined },
            ...answer === undefined ? [] : [{ kind: "arrive" as const, order: number, isAnswered: false }],
        ]);
        return [
            ...deliveries,
            ...this.leaders.length < 2 ? [{ kind: "next-leader" as const }] : [],
            ...this.isInUse ? [{ kind: "release" as const }] : [],
            { kind: "pass" },
        ];
    }

    /** Key of the current state, without elapsed times. */
    public get state(): string {
        return JSON.stringify({
            engine: this.engine.state,
            inUse: this.isInUse,
            leaders: this.leaders.map(leader => leader.state),
            underway: this.pendingOrders.map(({ sender, order, expected, answer }) =>
                [sender, describeOrder(order), expected, answer !== undefined].join(" ")
            ).sort(),
        });
    }

    public describe(action: Action): string {
        if (action.kind !== "arrive") {
            return action.kind;
        }
        const { sender, order, expected } = this.pendingOrders.find(({ number }) => number === action.order)!;
        const fate = action.isAnswered ? "arrives" : "arrives, reply lost";
        return `leader ${sender}: ${describeOrder(order)}, expected count ${expected}, ${fate}`;
    }

    private startLeader(needs: readonly ReportedDemand[]): void {
        const sender = this.leaders.length;
        const send: SendOrder = (order, expected) => this.send(sender, order, expected);
        const leader = new SimulatedLeader(this.engine, () => needs, send);
        this.leaders.push(leader);
        leader.start();
    }

    private async perform(action: Action): Promise<void> {
        switch (action.kind) {
            case "pass":
                return this.passUntilOrderSent();
            case "next-leader":
                this.startLeader(nextLeaderNeeds);
                return advanceTime(stepMs);
            case "release":
                this.isInUse = false;
                this.engine.release(unreportedAdapter);
                return;
            case "arrive":
                return this.deliver(action.order, action.isAnswered);
        }
    }

    private async passUntilOrderSent(): Promise<void> {
        const before = this.sentCount;
        for (let passed = 0; passed < maxPassMs && this.sentCount === before; passed += stepMs) {
            await advanceTime(stepMs);
        }
    }

    private async deliver(number: number, isAnswered: boolean): Promise<void> {
        const { order, expected, answer } = this.pendingOrders.find(one => one.number === number)!;
        this.pendingOrders = this.pendingOrders.filter(one => one.number !== number);
        const reply = this.engine.order(order, expected);
        if (isAnswered) {
            answer?.(reply);
        }
        await advanceTime(stepMs);
    }

    private send(sender: number, order: EngineOrder, expected: number): Promise<OrderReply> {
        this.sentCount += 1;
        const pending: PendingOrder = { number: this.sentCount, sender, order, expected, answer: undefined };
        this.pendingOrders.push(pending);
        return new Promise(resolve => {
            pending.answer = resolve;
            setTimeout(() => {
                pending.answer = undefined;
                resolve(OrderReply.unknown);
            }, callTimeoutMs);
        });
    }
}
