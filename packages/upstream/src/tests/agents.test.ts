import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { RpcClients } from "@winchpath/rpc";
import { parseSettings } from "@winchpath/settings";
import { Timeline } from "@winchpath/timeline";
import { expect } from "earl";
import { describe, it, type TestContext } from "node:test";
import { Agent, lateAfterMs, Refusal, type RunRequest, RunRequestSchema, type Upstream } from "../index.js";

const settings = `
role = "agent"
host = "booking-1"
dataCentre = "plateau"
[listen]
peers = "127.0.0.1:7201"
[control]
seeds = ["http://127.0.0.1:1"]
[security]
insecure = true
[upstream]
name = "booking-1"
kind = "service"
service = "booking-api"
url = "http://127.0.0.1:1"
concurrency = 1
`;

const unresponsiveUpstream: Upstream = {
    readState: async () => undefined,
    order: async () => "taken",
    send: () => new Promise(() => undefined),
    hasEnded: async () => false,
    close: async () => undefined,
};

function setUp(t: TestContext) {
    t.mock.timers.enable({ apis: ["setTimeout", "Date"], now: 1_000_000 });
    const timeline = new Timeline({ process: "agent/t", host: "t", dataCentre: "d" });
    const clients = new RpcClients({ key: undefined, timeline });
    const agent = new Agent({
        cfg: parseSettings(settings, "/").unwrap(),
        upstream: unresponsiveUpstream,
        clients,
        timeline,
    });
    let number = 0;
    /** Returns why a request was refused, or undefined if it was started. */
    const sendRequest = async (
        changes: MessageInitShape<typeof RunRequestSchema> = {},
    ): Promise<Refusal | undefined> => {
        number += 1;
        const common = { requestId: `r${number}`, attempt: 1, incarnation: agent.incarnation, timeoutMs: 60_000 };
        const req = create(
            RunRequestSchema,
            { ...common, seenReport: agent.report().sequence, ...changes } as RunRequest,
        );
        const reader = agent.runner.run(req);
        const first = await Promise.race([
            reader.next(),
            new Promise<undefined>(resolve => setImmediate(resolve, undefined)),
        ]);
        return first?.value?.refused?.refusal;
    };
    return { agent, sendRequest };
}

describe("Agent", () => {
    it("refuses a request of an entry that uses an outdated revision", async t => {
        const { agent, sendRequest } = setUp(t);
        const resources = [{
            $typeName: "winchpath.upstream.v1.ResourceRevision" as const,
            name: "booking-api",
            revision: 7n,
        }];
        const answer = { revision: 7n, term: 1n, resources, member: "m", voters: 3, voter: true, members: [] };
        agent.onResponse("http://e", { $typeName: "winchpath.upstream.v1.ReportResponse", ...answer });
        expect(await sendRequest({ resource: "booking-api", revision: 6n })).toEqual(Refusal.STALE_REVISION);
        expect(await sendRequest({ resource: "booking-api", revision: 7n })).toEqual(undefined);
    });

    it("refuses a late request, such as one of an entry that was suspended", async t => {
        const { agent, sendRequest } = setUp(t);
        const seenReport = agent.report().sequence;
        t.mock.timers.tick(lateAfterMs);
        expect(await sendRequest({ seenReport })).toEqual(undefined);
        t.mock.timers.tick(1);
        expect(await sendRequest({ seenReport })).toEqual(Refusal.LATE);
    });

    it("refuses a request for an earlier incarnation, or one based on an unknown report", async t => {
        const { sendRequest } = setUp(t);
        expect(await sendRequest({ incarnation: "before" })).toEqual(Refusal.INCARNATION);
        expect(await sendRequest({ seenReport: 0n })).toEqual(Refusal.LATE);
        expect(await sendRequest({ seenReport: 99n })).toEqual(Refusal.LATE);
    });

    it("accepts requests for a grace period after it starts leaving, then refuses them", async t => {
        const { agent, sendRequest } = setUp(t);
        const left = agent.leave(60_000);
        expect(await sendRequest()).toEqual(undefined);
        t.mock.timers.tick(1501);
        expect(await sendRequest()).toEqual(Refusal.LEAVING);
        void left;
    });

    it("refuses requests far beyond its upstream's capacity", async t => {
        const { sendRequest } = setUp(t);
        const answers = await Promise.all(Array.from({ length: 9 }, () => sendRequest()));
        expect(answers.filter(answer => answer === undefined).length).toEqual(8);
        expect(answers.at(-1)).toEqual(Refusal.OVERLOADED);
    });
});
