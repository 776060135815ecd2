import { Router } from "@winchpath/routing";
import { expect } from "earl";
import { describe, it, type TestContext } from "node:test";
import { type Job, RequestFailure, TargetQueues } from "../index.js";
import { createJob, FakeAgents } from "./fakes.js";

const replicaCapacity = 8;

describe("TargetQueue", () => {
    function setUp(t: TestContext) {
        t.mock.timers.enable({ apis: ["setTimeout", "Date"] });
        const agents = new FakeAgents({ disconnects: [], truncations: [], restarts: [] }, ["a"]);
        const router = new Router();
        const queues = new TargetQueues(router, 3);
        const admit = (changes: Partial<Job>) => queues.forTarget("m").admit(createJob(agents, changes), new Map());
        const fill = () => Array.from({ length: replicaCapacity }, () => router.loads.started("a"));
        return { router, queues, admit, fill };
    }

    async function settle(): Promise<void> {
        await new Promise(resolve => setImmediate(resolve));
    }

    it("dispatches by priority, then by the client with fewer dispatched requests", async t => {
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
            queues.dispatch();
            router.loads.started("a");
            await settle();
        }
        await Promise.all(waiting);
        expect(order).toEqual(["urgent", "modest", "greedy"]);
    });

    it("rejects at once if all replicas back off too long, and waits for a short backoff", async t => {
        const { router, queues, admit } = setUp(t);
        router.availability.startBackoff("a-1", 3000);
        const failure = await admit({ startBy: Date.now() + 500 }).catch((err: unknown) => err as RequestFailure);
        const { outcome, retryAfterMs } = failure as RequestFailure;
        expect([outcome, retryAfterMs! >= 3000, retryAfterMs! <= 3750]).toEqual(["not-run", true, true]);
        const waiting = admit({ startBy: Date.now() + 4000 });
        t.mock.timers.tick(3000);
        queues.dispatch();
        expect((await waiting).upstream).toEqual("a");
    });

    it("rejects at once if the queue is full or the expected wait is too long", async t => {
        const { queues, admit, fill } = setUp(t);
        fill();
        queues.forTarget("m").recordServiceTime(8000);
        const first = admit({});
        await expect(admit({ startBy: Date.now() + 500 })).toBeRejectedWith(
            RequestFailure,
            /over the 500 ms/,
        );
        const others = [admit({}), admit({})];
        await expect(admit({})).toBeRejectedWith(RequestFailure, /3 requests wait already/);
        queues.close();
        await Promise.allSettled([first, ...others]);
    });

    it("rejects a request at its start deadline with not-run and a retry delay", async t => {
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

    it("queues a request for a model without a ready replica until its deadline", async t => {
        const { queues, admit } = setUp(t);
        const failure = admit({ replicas: () => [], startBy: Date.now() + 10, deadline: Date.now() + 1000 })
            .then(() => undefined, (err: unknown) => err as RequestFailure);
        t.mock.timers.tick(900);
        await settle();
        expect(queues.waiting("m")).toEqual(1);
        t.mock.timers.tick(200);
        expect((await failure)?.code).toEqual("no-replica-ready");
    });

    it("removes a request when its client disconnects", async t => {
        const { queues, admit, fill } = setUp(t);
        fill();
        const disconnected = new AbortController();
        const waiting = admit({ signal: disconnected.signal });
        disconnected.abort();
        await expect(waiting).toBeRejectedWith(RequestFailure, /caller left/);
        expect(queues.waiting("m")).toEqual(0);
    });
});
