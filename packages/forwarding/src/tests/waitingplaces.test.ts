import { AccountShares } from "@winchpath/accounts";
import { Metrics } from "@winchpath/core";
import { keyDigest } from "@winchpath/declarations";
import { expect } from "earl";
import { type ServerResponse } from "node:http";
import { describe, it, type TestContext } from "node:test";
import { type AttemptOutcome, FairShares, type InboundRequest } from "../index.js";
import { TestEntry, testRoute } from "./testservers.js";
import { testRequest } from "./waitinputs.js";

const accounts = ["noisy", "quiet"].map(name => ({ name, keyDigests: [keyDigest(name)] }));
const route = testRoute({ objectiveMs: 10_000, timeoutMs: 20_000 });
const answered: AttemptOutcome = { kind: "answered", status: 200 };

/** A request whose id is the name of its account and a number. */
function requestOf(id: string): InboundRequest {
    const account = id.slice(0, -1);
    const request = testRequest(route, 0);
    return {
        ...request,
        id,
        metadata: { ...request.metadata, model: "" },
        grant: { account, digest: keyDigest(account), priority: undefined },
        attemptedUpstreams: [],
        declinedUpstreams: new Set(),
        abortSignal: new AbortController().signal,
    };
}

async function turns(count: number) {
    for (let turn = 0; turn < count; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

describe("a request that is postponed", () => {
    /** Postpones the second of two attempts while two other requests wait; returns the order of all attempts. */
    async function orderOfAttempts(t: TestContext, isCapacityContended: boolean) {
        const attempts: { readonly id: string; readonly end: (outcome: AttemptOutcome) => void; }[] = [];
        const entry = new TestEntry({ ...TestEntry.configuration([route]), accounts }, 10, undefined, {
            accountShares: new AccountShares(() => undefined),
            isCapacityContended,
            sendAttempt: ({ id }) => new Promise(resolve => attempts.push({ id, end: resolve })),
        });
        await entry.start();
        t.after(() => entry.stop());
        entry.setUpstreams({ id: "u0", address: "127.0.0.1:9", slots: 1 });
        const ids = ["noisy1", "noisy2", "noisy3", "quiet1"];
        const calls = [];
        for (const id of ids) {
            calls.push(entry.forwarder.serve(requestOf(id), {} as ServerResponse));
            await turns(1);
        }
        expect([attempts.length, entry.forwarder.waiting]).toEqual([2, 2]);
        attempts[1].end({ kind: "postponed" });
        await turns(10);
        for (let index = 0; index < ids.length + 1; index++) {
            attempts[index].end(answered);
            await turns(10);
        }
        await Promise.all(calls);
        return attempts.map(({ id }) => id);
    }

    // Guards against requests that begin to wait anew behind later ones, although nothing of them was sent.
    it("keeps its place before those that wait", async t => {
        expect(await orderOfAttempts(t, false)).toEqual(["noisy1", "noisy2", "noisy2", "noisy3", "quiet1"]);
    });

    it("keeps its place where capacity is shared between accounts", async t => {
        expect(await orderOfAttempts(t, true)).toEqual(["noisy1", "noisy2", "noisy2", "noisy3", "quiet1"]);
    });
});

describe("a request whose work is returned", () => {
    const setUp = () => {
        const shares = new AccountShares(() => undefined);
        shares.setAccounts(accounts);
        return new FairShares(shares, { has: () => true }, new Metrics());
    };

    it("waits before the later requests of its account and of others, as before it was assigned", () => {
        const fairShares = setUp();
        const [returned, later, other] = ["noisy1", "noisy2", "quiet1"].map(requestOf);
        [returned, later, other].forEach(request => fairShares.enter(request));
        fairShares.served(returned);
        fairShares.leave(returned);
        fairShares.returned(returned);
        fairShares.enter(returned);
        const ordered = [returned, other, later].toSorted((a, b) => fairShares.compare(a, b));
        expect(ordered.map(({ id }) => id)).toEqual(["noisy1", "quiet1", "noisy2"]);
    });

    it("is not behind the later requests of other accounts", () => {
        const fairShares = setUp();
        const [returned, later, other] = ["noisy1", "noisy2", "quiet1"].map(requestOf);
        [returned, later, other].forEach(request => fairShares.enter(request));
        fairShares.served(returned);
        fairShares.leave(returned);
        fairShares.returned(returned);
        expect(fairShares.isBehindOthers(returned)).toEqual(false);
    });

    it("waits as a new one if its work was not returned", () => {
        const fairShares = setUp();
        const [sent, other] = ["noisy1", "quiet1"].map(requestOf);
        [sent, other].forEach(request => fairShares.enter(request));
        fairShares.served(sent);
        fairShares.leave(sent);
        fairShares.enter(sent);
        expect(fairShares.compare(sent, other)).toBeGreaterThan(0);
    });
});
