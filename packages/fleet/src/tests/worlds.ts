/**
 * A small world that a search can play again from its start: one engine, a leader and the next one, which is begun while the
 * earlier one is alive, and what is on its way between them. Leaders run the product's own code.
 */
import { mock } from "node:test";
import { describeOrder, type EngineOrder, OrderReply } from "../index.js";
import { type FirstCheck, RoomEngine, RoomLeader, type SendOrder, type ToldDemand } from "./roomengines.js";
import { pass } from "./times.js";

/** Time after which a leader has heard enough to give its first order, in milliseconds. */
const heardMs = 1700;
/** An answer is given up after this long, in milliseconds. */
const callTimeoutMs = 600;
/** Time passes until something new is on its way, or for so long, in milliseconds. */
const longestPassMs = 2000;
const passMs = 50;
const startAt = 1_000_000;
/** An adapter that requests run on which no leader hears of. */
const unheard = "m1/a1";

const needsOfFirst: readonly ToldDemand[] = [{ model: "m1", adapter: "a2", running: 0, waiting: 3 }];
const needsOfNext: readonly ToldDemand[] = [{ model: "m1", adapter: "a3", running: 0, waiting: 3 }];

/** What may happen next. Orders on their way are named by their place in the order of their sending. */
export type Choice =
    | { readonly kind: "pass" | "next-leader" | "release"; }
    /** An order arrives; its answer is lost where `isAnswered` is false. */
    | { readonly kind: "arrive"; readonly order: number; readonly isAnswered: boolean; };

interface Underway {
    readonly number: number;
    readonly sender: number;
    readonly order: EngineOrder;
    readonly expected: number;
    /** Undefined once its sender has given up on it. */
    answer: ((reply: OrderReply) => void) | undefined;
}

export class World {
    public readonly engine: RoomEngine;
    private readonly leaders: RoomLeader[] = [];
    private underway: Underway[] = [];
    private sent = 0;
    private isInUse = true;

    private constructor(firstCheck: FirstCheck) {
        this.engine = new RoomEngine({ m1: ["a1"] }, firstCheck);
        this.engine.use(unheard);
    }

    /** Plays choices from the start. Time has to be given back by {@link World.end}. */
    public static async play(firstCheck: FirstCheck, choices: readonly Choice[]): Promise<World> {
        mock.timers.enable({ apis: ["Date", "setTimeout"], now: startAt });
        const world = new World(firstCheck);
        world.begin(needsOfFirst);
        await pass(heardMs);
        for (const choice of choices) {
            await world.take(choice);
        }
        return world;
    }

    /** What ends of its own gives its timers back while they are this world's; another's would go in their place. */
    public async end(): Promise<void> {
        this.leaders.forEach(leader => leader.end());
        await pass(passMs);
        mock.timers.reset();
    }

    /** What may happen now. */
    public choices(): Choice[] {
        const arrivals = this.underway.flatMap(({ number, answer }): Choice[] => [
            { kind: "arrive", order: number, isAnswered: answer !== undefined },
            ...answer === undefined ? [] : [{ kind: "arrive" as const, order: number, isAnswered: false }],
        ]);
        return [
            ...arrivals,
            ...this.leaders.length < 2 ? [{ kind: "next-leader" as const }] : [],
            ...this.isInUse ? [{ kind: "release" as const }] : [],
            { kind: "pass" },
        ];
    }

    /** All that tells one state from another but the time since things have happened. */
    public get state(): string {
        return JSON.stringify({
            engine: this.engine.state,
            inUse: this.isInUse,
            leaders: this.leaders.map(leader => leader.state),
            underway: this.underway.map(({ sender, order, expected, answer }) =>
                [sender, describeOrder(order), expected, answer !== undefined].join(" ")
            ).sort(),
        });
    }

    public describe(choice: Choice): string {
        if (choice.kind !== "arrive") {
            return choice.kind;
        }
        const { sender, order, expected } = this.underway.find(({ number }) => number === choice.order)!;
        const fate = choice.isAnswered ? "arrives" : "arrives, unanswered";
        return `leader ${sender}'s ${describeOrder(order)} under ${expected} ${fate}`;
    }

    private begin(needs: readonly ToldDemand[]): void {
        const sender = this.leaders.length;
        const send: SendOrder = (order, expected) => this.send(sender, order, expected);
        const leader = new RoomLeader(this.engine, () => needs, send);
        this.leaders.push(leader);
        leader.start();
    }

    private async take(choice: Choice): Promise<void> {
        switch (choice.kind) {
            case "pass":
                return this.passUntilNews();
            case "next-leader":
                this.begin(needsOfNext);
                return pass(passMs);
            case "release":
                this.isInUse = false;
                this.engine.release(unheard);
                return;
            case "arrive":
                return this.arrive(choice.order, choice.isAnswered);
        }
    }

    private async passUntilNews(): Promise<void> {
        const before = this.sent;
        for (let passed = 0; passed < longestPassMs && this.sent === before; passed += passMs) {
            await pass(passMs);
        }
    }

    private async arrive(number: number, isAnswered: boolean): Promise<void> {
        const { order, expected, answer } = this.underway.find(one => one.number === number)!;
        this.underway = this.underway.filter(one => one.number !== number);
        const reply = this.engine.order(order, expected);
        if (isAnswered) {
            answer?.(reply);
        }
        await pass(passMs);
    }

    private send(sender: number, order: EngineOrder, expected: number): Promise<OrderReply> {
        this.sent += 1;
        const one: Underway = { number: this.sent, sender, order, expected, answer: undefined };
        this.underway.push(one);
        return new Promise(resolve => {
            one.answer = resolve;
            setTimeout(() => {
                one.answer = undefined;
                resolve(OrderReply.unknown);
            }, callTimeoutMs);
        });
    }
}
