import { Router } from "@winchpath/routing";
import { expect } from "earl";
import { describe, it, type TestContext } from "node:test";
import { type Job, Queues, RequestFailure } from "../index.js";
import { FakeAgents, jobFor } from "./fakes.js";

const replicaCapacity = 8;

describe("a queue", () => {
    function setUp(t: TestContext) {
        t.mock.timers.enable({ apis: ["setTimeout", "Date"] });
        const agents = new FakeAgents({ cuts: [], breaks: [], restarts: [] }, ["a"]);
        const router = new Router();
        const queues = new Queues(router, 3);
        const admit = (changes: Partial<Job>) => queues.of("m").admit(jobFor(agents, changes), new Map());
        const fill = () => Array.from({ length: replicaCapacity }, () => router.loads.started("a"));
        return { router, queues, admit, fill };
    }

    async function settle(): Promise<void> {
        await new Promise(resolve => setImmediate(resolve));
    }

    it("lets the higher priority go first, then the caller that was served less", async t => {
        const { router, queues, admit, fill } = setUp(t);
        await admit({ caller: "greedy" });
        fill();
        const order: string[] = [];
        const note = (name: string) => (): void => void order.push(name);
        const waiting = [
            admit({ caller: "greedy", priority: 5 }).then(note("greedy")),
            admit({ caller: "modest", priority: 5 }).then(note("modest")),
            admit({ caller: "greedy", priority: 9 }).then(note("urgent")),
        ];
        for (let turn = 0; turn < 3; turn++) {
            router.loads.ended("a");
            queues.pump();
            router.loads.started("a");
            await settle();
        }
        await Promise.all(waiting);
        expect(order).toEqual(["urgent", "modest", "greedy"]);
    });

    it("gives the final answer at once where all replicas rest for too long, and waits for a short rest", async t => {
        const { router, queues, admit } = setUp(t);
        router.availability.startBackoff("a-1", 3000);
        const failure = await admit({ startBy: Date.now() + 500 }).catch((err: unknown) => err as RequestFailure);
        const { outcome, retryAfterMs } = failure as RequestFailure;
        expect([outcome, retryAfterMs! >= 3000, retryAfterMs! <= 3750]).toEqual(["not-run", true, true]);
        const waiting = admit({ startBy: Date.now() + 4000 });
        t.mock.timers.tick(3000);
        queues.pump();
        expect((await waiting).upstream).toEqual("a");
    });

    it("gives the final answer at once when it is full, or the wait would be too long", async t => {
        const { queues, admit, fill } = setUp(t);
        fill();
        queues.of("m").noteService(8000);
        const first = admit({});
        await expect(admit({ startBy: Date.now() + 500 })).toBeRejectedWith(RequestFailure, /over the 500 ms/);
        const others = [admit({}), admit({})];
        await expect(admit({})).toBeRejectedWith(RequestFailure, /3 requests wait already/);
        queues.close();
        await Promise.allSettled([first, ...others]);
    });

    it("gives up a request whose time to start is over, with not-run and when to come back", async t => {
        const { admit, fill } = setUp(t);
        fill();
        const waiting = admit({ startBy: Date.now() + 200 });
        const failure = waiting.then(() => undefined, (err: unknown) => err as RequestFailure);
        for (let turn = 0; turn < 9; turn++) {
            t.mock.timers.tick(25);
            await settle();
        }
        const given = await failure;
        expect([given?.code, given?.outcome, given?.retryAfterMs !== undefined]).toEqual([
            "overloaded",
            "not-run",
            true,
        ]);
    });

    it("lets a request wait for a model without a ready replica until its deadline", async t => {
        const { queues, admit } = setUp(t);
        const failure = admit({ replicas: () => [], startBy: Date.now() + 10, deadline: Date.now() + 1000 })
            .then(() => undefined, (err: unknown) => err as RequestFailure);
        t.mock.timers.tick(900);
        await settle();
        expect(queues.waiting("m")).toEqual(1);
        t.mock.timers.tick(200);
        expect((await failure)?.code).toEqual("no-replica-ready");
    });

    it("lets a caller leave", async t => {
        const { queues, admit, fill } = setUp(t);
        fill();
        const left = new AbortController();
        const waiting = admit({ signal: left.signal });
        left.abort();
        await expect(waiting).toBeRejectedWith(RequestFailure, /caller left/);
        expect(queues.waiting("m")).toEqual(0);
    });
});
