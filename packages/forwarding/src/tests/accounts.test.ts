import { type ClientAccount, keyDigest } from "@winchpath/declarations";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { completeResponse, RawUpstream, type ReceivedRequest, TestEntry, testRoute } from "./testservers.js";

const accounts: ClientAccount[] = [
    { name: "commune", keyDigests: [keyDigest("k1")], priority: 0 },
    {
        name: "small",
        keyDigests: [keyDigest("k2")],
        limit: { unit: "requests", perSecond: 1, burst: 1, plainTokens: 0 },
    },
];

describe("an entry with client accounts", () => {
    let upstream: RawUpstream;
    let entry: TestEntry;
    afterEach(async () => {
        await entry.stop();
        upstream.stop();
    });

    const respondOk = ({ id, socket }: ReceivedRequest) => socket.write(completeResponse(id, "hello"));

    async function setUp(
        options: { handler?: (received: ReceivedRequest) => void; strict?: boolean; isPublic?: boolean; } = {},
    ) {
        upstream = await RawUpstream.start(options.handler ?? respondOk);
        const route = testRoute({ isPublic: options.isPublic ?? false });
        const configuration = { ...TestEntry.configuration([route]), accounts };
        entry = new TestEntry(configuration, 10, { strict: options.strict ?? true, withinMs: 5000 });
        await entry.start();
        entry.setUpstreams({ id: "u0@5", name: "u0", address: upstream.address });
        entry.limiter.setAccounts(accounts, 1);
    }

    const keyed = (key: string, more: object = {}) => ({ headers: { "X-Key": key, ...more } });

    it("forwards the account and the upstream's name to the upstream", async () => {
        await setUp();
        expect((await entry.call("q1", keyed("k1"))).status).toEqual(200);
        expect(upstream.received[0].head).toInclude("X-Account: commune");
        expect(upstream.received[0].head).toInclude("X-Upstream: u0\r\n");
    });

    it("rejects unknown and missing keys without forwarding the request", async () => {
        await setUp();
        const responses = [await entry.call("q1", keyed("other")), await entry.call("q2")];
        expect(responses.map(({ status, headers }) => [status, headers["www-authenticate"]])).toEqual([
            [401, "Bearer"],
            [401, "Bearer"],
        ]);
        expect(upstream.received.length).toEqual(0);
    });

    it("requires no key on a public route and forwards no account", async () => {
        await setUp({ isPublic: true });
        expect((await entry.call("q1")).status).toEqual(200);
        expect(upstream.received[0].head).not.toInclude("X-Account");
    });

    it("returns 429 with Retry-After above the limit", async () => {
        await setUp();
        entry.limiter.applyAllowances([], [{
            account: "small",
            strict: true,
            grant: 1,
            dryMs: 700,
            fallbackPerSecond: 1,
            reportAfter: 1,
        }]);
        expect((await entry.call("q1", keyed("k2"))).status).toEqual(200);
        const over = await entry.call("q2", keyed("k2"));
        expect([over.status, Number(over.headers["retry-after"]) > 0.2]).toEqual([429, true]);
        expect((await entry.call("q3", keyed("k1"))).status).toEqual(200);
    });

    it("refunds a request that was not executed", async () => {
        await setUp({
            handler: ({ id, socket }) => socket.write(completeResponse(id, "", "X-Not-Run: 1\r\n", "503 Busy")),
        });
        expect((await entry.call("q1", keyed("k2"))).status).toEqual(503);
        expect(entry.limiter.counts().map(({ used, asked }) => [used, asked])).toEqual([[0, 1]]);
    });

    it("does not refund a request that may have been executed", async () => {
        await setUp({ handler: ({ socket }) => socket.destroy() });
        await entry.call("q1", { method: "POST", ...keyed("k2") });
        expect(entry.limiter.counts().map(({ used }) => used)).toEqual([1]);
    });

    it("rejects all keys once control has been unreachable for the revocation time", async t => {
        t.mock.timers.enable({ apis: ["Date"], now: Date.now() });
        await setUp();
        expect((await entry.call("q1", keyed("k1"))).status).toEqual(200);
        t.mock.timers.tick(5000);
        const late = await entry.call("q2", keyed("k1"));
        expect([late.status, late.body, late.headers.connection]).toEqual([
            503,
            JSON.stringify({ error: "keys-unconfirmed" }),
            "close",
        ]);
        expect(upstream.received.length).toEqual(1);
    });
});
