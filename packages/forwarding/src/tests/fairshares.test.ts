import { AccountShares } from "@winchpath/accounts";
import { Metrics } from "@winchpath/core";
import { keyDigest } from "@winchpath/declarations";
import { expect } from "earl";
import { array, assert, constantFrom, nat, property, record } from "fast-check";
import { type ServerResponse } from "node:http";
import { afterEach, describe, it } from "node:test";
import {
    type AttemptOutcome,
    FairShares,
    type InboundRequest,
    PriorityOrder,
    promptEquivalentTokens,
} from "../index.js";
import { completeResponse, RawUpstream, type ReceivedRequest, TestEntry, testRoute } from "./testservers.js";
import { testRequest } from "./waitinputs.js";

const accounts = ["noisy", "quiet"].map(name => ({ name, keyDigests: [keyDigest(name)] }));
const keyed = (key: string) => ({ headers: { "X-Key": key } });
/** Requests that one upstream with one slot accepts at a time. */
const capacity = 2;
const settleMs = 50;

describe("an entry that shares capacity between accounts", () => {
    let upstream: RawUpstream;
    let entry: TestEntry;
    let shares: AccountShares;
    /** Requests that the upstream has received and not answered. */
    let running: ReceivedRequest[];
    afterEach(async () => {
        await entry.stop();
        upstream.stop();
    });

    async function setUp(isCapacityContended: boolean) {
        running = [];
        upstream = await RawUpstream.start(received => running.push(received));
        const route = testRoute({ objectiveMs: 10_000, timeoutMs: 20_000 });
        shares = new AccountShares(() => undefined);
        entry = new TestEntry({ ...TestEntry.configuration([route]), accounts }, 10, undefined, {
            accountShares: shares,
            isCapacityContended,
        });
        await entry.start();
        entry.setUpstreams({ id: "u0", address: upstream.address, slots: 1 });
    }

    async function until(condition: () => boolean) {
        while (!condition()) {
            await new Promise(resolve => setTimeout(resolve, 2));
        }
    }

    const answer = ({ id, socket }: ReceivedRequest) => socket.write(completeResponse(id, "hello"));

    /** Sends four noisy requests and then a quiet one; returns the order in which the upstream receives them. */
    async function orderOfRequests() {
        const calls = [];
        for (const id of ["noisy1", "noisy2", "noisy3", "noisy4", "quiet1"]) {
            calls.push(entry.call(id, keyed(id.slice(0, -1))));
            await until(() => entry.listener.activeRequests === calls.length);
            // Each request is sent or waits before the next one is sent, also beside load.
            await until(() => running.length + entry.forwarder.waiting === calls.length);
        }
        await until(() => running.length === capacity);
        // Lets the requests that were read last start to wait.
        await new Promise(resolve => setTimeout(resolve, settleMs));
        const order: string[] = [];
        while (order.length < calls.length) {
            await until(() => running.length > 0);
            const next = running.shift()!;
            order.push(next.id);
            answer(next);
            await until(() => order.length + running.length >= Math.min(calls.length, order.length + capacity));
        }
        expect((await Promise.all(calls)).map(({ status }) => status)).toEqual([200, 200, 200, 200, 200]);
        return order;
    }

    it("serves waiting requests by the least work of their account", async () => {
        await setUp(true);
        // What was sent while nothing waited doesn't count, so that the third request precedes that of the other account.
        expect(await orderOfRequests()).toEqual(["noisy1", "noisy2", "noisy3", "quiet1", "noisy4"]);
    });

    it("serves waiting requests in order of arrival where capacity isn't contended", async () => {
        await setUp(false);
        expect(await orderOfRequests()).toEqual(["noisy1", "noisy2", "noisy3", "noisy4", "quiet1"]);
        expect(shares.workCounts(true)).toEqual([]);
    });

    it("rejects a request beyond the share with Retry-After while capacity is scarce, and admits other accounts", async () => {
        await setUp(true);
        const route = testRoute({ objectiveMs: 500 });
        entry.replaceConfiguration({ ...TestEntry.configuration([route]), accounts });
        const first = entry.call("noisy1", keyed("noisy"));
        await until(() => running.length === 1);
        shares.applyPositions([], [{
            service: "s",
            account: "noisy",
            virtualWork: 0,
            overShare: true,
            workPerSecond: 0,
            heldFromLevel: 0,
        }]);
        const over = await entry.call("noisy2", keyed("noisy"));
        expect([over.status, over.body]).toEqual([503, JSON.stringify({ error: "over-share" })]);
        expect(Number(over.headers["retry-after"])).toBeGreaterThan(0);
        const other = entry.call("quiet1", keyed("quiet"));
        await until(() => running.length === 2);
        running.forEach(answer);
        expect([(await first).status, (await other).status]).toEqual([200, 200]);
    });

    it("admits a request beyond the share at the only upstream if another one would still have capacity", async () => {
        await setUp(true);
        entry.setUpstreams({ id: "u0", address: upstream.address, slots: 2 });
        const first = entry.call("noisy1", keyed("noisy"));
        await until(() => running.length === 1);
        shares.applyPositions([], [{
            service: "s",
            account: "noisy",
            virtualWork: 0,
            overShare: true,
            workPerSecond: 0,
            heldFromLevel: 0,
        }]);
        const second = entry.call("noisy2", keyed("noisy"));
        await until(() => running.length === 2);
        running.forEach(answer);
        expect([(await first).status, (await second).status]).toEqual([200, 200]);
    });

    it("does not count requests as demand that are rejected because their model isn't loaded", async () => {
        await setUp(true);
        const response = await entry.call("q1", {
            headers: { "X-Key": "noisy", "X-Model": "absent", "X-Deadline": "50" },
        });
        expect([response.status, response.body]).toEqual([503, JSON.stringify({ error: "lacking" })]);
        expect(shares.workCounts(true)).toEqual([]);
    });

    it("admits a request beyond the share while another upstream has capacity", async t => {
        await setUp(true);
        const other = await RawUpstream.start(received => running.push(received));
        t.after(() => other.stop());
        entry.setUpstreams({ id: "u1", address: other.address, slots: 1 });
        const first = entry.call("noisy1", keyed("noisy"));
        await until(() => running.length === 1);
        shares.applyPositions([], [{
            service: "s",
            account: "noisy",
            virtualWork: 0,
            overShare: true,
            workPerSecond: 0,
            heldFromLevel: 0,
        }]);
        const second = entry.call("noisy2", keyed("noisy"));
        await until(() => running.length === 2);
        running.forEach(answer);
        expect([(await first).status, (await second).status]).toEqual([200, 200]);
    });
});

describe("work of an account of which nothing was sent", () => {
    /** Serves a request that is not sent, and one that is; returns the work that the account is charged for both. */
    async function chargedWork(unsent: AttemptOutcome, leavesEarly: boolean): Promise<number | undefined> {
        const outcomes: AttemptOutcome[] = leavesEarly ? [] : [unsent];
        const shares = new AccountShares(() => undefined);
        // With this objective the first request still waits if the process is suspended before the upstream appears.
        const route = testRoute({ objectiveMs: 10_000, timeoutMs: 20_000 });
        const configuration = { ...TestEntry.configuration([route]), accounts };
        const entry = new TestEntry(configuration, 10, undefined, {
            accountShares: shares,
            isCapacityContended: true,
            sendAttempt: () => Promise.resolve(outcomes.shift() ?? { kind: "answered", status: 200 }),
        });
        await entry.start();
        // Makes the accounts known, without which every key is denied.
        entry.setUpstreams();
        const grant = { account: "noisy", digest: keyDigest("noisy"), priority: undefined };
        const client = new AbortController();
        const res = {} as ServerResponse;
        const request = testRequest(route, 0);
        const plain = { ...request, metadata: { ...request.metadata, model: "" }, grant };
        const first = { ...plain, attemptedUpstreams: [], abortSignal: client.signal };
        const served = entry.forwarder.serve(first, res);
        await new Promise(resolve => setImmediate(resolve));
        entry.setUpstreams({ id: "u0", address: "127.0.0.1:9", slots: 1 });
        if (leavesEarly) {
            client.abort();
        }
        await served;
        await entry.forwarder.serve({ ...plain, attemptedUpstreams: [] }, res);
        await entry.stop();
        return shares.workCounts(true).find(({ account }) => account === "noisy")?.served;
    }

    const work = promptEquivalentTokens(testRequest(testRoute({}), 0));

    it("is returned if the client left before the connection was available", async () => {
        expect(await chargedWork({ kind: "caller-gone", sent: false }, false)).toEqual(work);
        expect(await chargedWork({ kind: "caller-gone", sent: true }, false)).toEqual(2 * work);
    });

    it("is returned if the client left between the assignment and the attempt", async () => {
        expect(await chargedWork({ kind: "postponed" }, true)).toEqual(work);
    });
});

describe("FairShares", () => {
    const requests = array(record({
        service: constantFrom("s", "t"),
        priority: nat(3),
        account: constantFrom("a", "b", undefined),
    }));
    const inboundRequest = (
        { service, priority, account }: { service: string; priority: number; account?: string; },
    ) => ({
        service,
        priority,
        grant: account === undefined ? undefined : { account },
        metadata: { model: "m", promptTokens: 5, promptParts: [], maxOutputTokens: 1 },
        attemptedUpstreams: [],
    } as unknown as InboundRequest);

    // Guards against an entry that spends its processor time on the checks of requests that wait for seconds.
    it("lets a request check for capacity often at first, and at the usual interval after 100 ms", t => {
        t.mock.timers.enable({ apis: ["Date"], now: 1_000_000 });
        const shares = new AccountShares(() => undefined);
        shares.setAccounts(accounts);
        const fairShares = new FairShares(shares, { has: () => true }, new Metrics());
        const request = inboundRequest({ service: "s", priority: 1, account: "quiet" });
        fairShares.enter(request);
        const intervals = [0, 20, 20, 40].map(elapsedMs => {
            t.mock.timers.tick(elapsedMs);
            return fairShares.recheckIntervalMs(request);
        });
        expect(intervals).toEqual([20, 20, 40, 80]);
        t.mock.timers.tick(80);
        expect(fairShares.recheckIntervalMs(request)).toEqual(undefined);
    });

    it("decides as before while the feature is off", () => {
        const shares = new AccountShares(() => undefined);
        assert(property(requests, each => {
            const fairShares = new FairShares(shares, { has: () => false }, new Metrics());
            const all = each.map(inboundRequest);
            all.forEach(request => {
                fairShares.enter(request);
                expect(fairShares.isBehindOthers(request)).toEqual(false);
                expect(fairShares.isReservedForOthers(request, () => false)).toEqual(false);
                expect([fairShares.refusal(request), fairShares.recheckIntervalMs(request)])
                    .toEqual([undefined, undefined]);
            });
            const previous = new PriorityOrder();
            expect(all.toSorted((a, b) => fairShares.compare(a, b))).toEqual(
                all.toSorted((a, b) => previous.compare(a, b)),
            );
            expect(shares.workCounts(true)).toEqual([]);
        }));
    });

    it("keeps no waiting requests when the feature is switched on, off and on again under load", () => {
        const step = record({
            action: constantFrom("arrive", "serve", "leave", "switch"),
            service: constantFrom("s", "t"),
            priority: nat(3),
            account: constantFrom("noisy", "quiet", undefined),
        });
        assert(property(array(step), steps => {
            let isOn = true;
            const shares = new AccountShares(() => undefined);
            const fairShares = new FairShares(shares, { has: () => isOn }, new Metrics());
            const waiting: InboundRequest[] = [];
            const configuration = { ...TestEntry.configuration([testRoute({})]), accounts };
            fairShares.refresh(configuration);
            for (const { action, ...attributes } of steps) {
                if (action === "switch") {
                    isOn = !isOn;
                    fairShares.refresh(configuration);
                }
                else if (action === "arrive") {
                    const request = inboundRequest(attributes);
                    fairShares.enter(request);
                    waiting.push(request);
                }
                else {
                    const request = waiting.shift();
                    if (request !== undefined && action === "serve") {
                        fairShares.served(request);
                    }
                    if (request !== undefined) {
                        fairShares.leave(request);
                    }
                }
            }
            waiting.forEach(request => fairShares.leave(request));
            expect(shares.statuses().filter(status => status.waiting !== 0 || status.backlog !== 0)).toEqual([]);
            isOn = false;
            fairShares.refresh(configuration);
            expect(shares.workCounts(true)).toEqual([]);
        }));
    });

    it("never serves a less urgent request before a more urgent one, except one in twenty", () => {
        const shares = new AccountShares(() => undefined);
        shares.setAccounts(accounts);
        const fairShares = new FairShares(shares, { has: () => true }, new Metrics());
        const all = Array.from(
            { length: 400 },
            (_, index) =>
                inboundRequest({ service: "s", priority: index % 4, account: index % 3 === 0 ? "noisy" : "quiet" }),
        );
        all.forEach(request => fairShares.enter(request));
        const ordered = all.toSorted((a, b) => fairShares.compare(a, b));
        const mostUrgent = ordered.slice(0, 100 + 300 / 20);
        expect(mostUrgent.filter(({ priority }) => priority === 0).length).toEqual(100);
        const rest = ordered.slice(mostUrgent.length).map(({ priority }) => priority);
        expect(rest).toEqual(rest.toSorted());
    });
});
