import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { Metrics, silentLog } from "@winchpath/core";
import { type PeerClients } from "@winchpath/rpc";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { ConfirmResponseSchema } from "../gen/winchpath/fleet/v1/fleet_pb.js";
import { ConfigurationConfirmer, FleetView } from "../index.js";
import { advanceTime } from "./mocktimes.js";

type Reply = () => Promise<MessageInitShape<typeof ConfirmResponseSchema>>;

/** Control hosts that answer confirmations, with the calls that each received. */
class TestControlHosts {
    public readonly calls: string[] = [];

    public constructor(private readonly replies: Record<string, Reply>) {}

    public clients(): PeerClients {
        const open = (_service: unknown, url: string) => ({
            confirm: async () => {
                this.calls.push(url);
                return create(ConfirmResponseSchema, await this.replies[url]());
            },
        });
        return { client: open as unknown as PeerClients["client"], disconnect: () => undefined };
    }
}

describe("ConfigurationConfirmer", () => {
    let view: FleetView<unknown>;

    beforeEach(() => {
        mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 });
        view = new FleetView((text, version) => ({ text, version }), silentLog);
    });

    afterEach(() => mock.timers.reset());

    function confirmerFor(hosts: TestControlHosts, leaderUrl = "a"): ConfigurationConfirmer<unknown> {
        const options = { entry: "e", leaderUrl: () => leaderUrl, controlUrls: () => ["a", "b", "c"] };
        return new ConfigurationConfirmer(view, hosts.clients(), options, silentLog, new Metrics());
    }

    async function resultOf(confirmation: Promise<boolean>, ms: number): Promise<boolean | "waiting"> {
        let result: boolean | "waiting" = "waiting";
        void confirmation.then(confirmed => result = confirmed);
        await advanceTime(ms);
        return result;
    }

    const unavailable: Reply = () => Promise.reject(new Error("unavailable"));

    it("confirms and applies a newer document", async () => {
        const hosts = new TestControlHosts({ a: async () => ({ documentVersion: 4n, documentText: "four" }) });
        expect(await resultOf(confirmerFor(hosts).confirm(500), 50)).toEqual(true);
        expect(view.version).toEqual(4);
    });

    it("asks once for all requests that wait, and once more for those that came after the question", async () => {
        const hosts = new TestControlHosts({
            a: async () => {
                await new Promise(resolve => setTimeout(resolve, 40));
                return { documentVersion: 0n };
            },
        });
        const confirmer = confirmerFor(hosts);
        const first = Promise.all(Array.from({ length: 50 }, () => confirmer.confirm(500)));
        await advanceTime(20);
        expect(hosts.calls.length).toEqual(1);
        const later = confirmer.confirm(500);
        await advanceTime(35);
        expect(await first).toEqual(Array.from({ length: 50 }, () => true));
        expect(await resultOf(later, 60)).toEqual(true);
        expect(hosts.calls.length).toEqual(2);
    });

    it("asks several hosts while no leader is known", async () => {
        const hosts = new TestControlHosts({
            a: unavailable,
            b: () => new Promise(() => undefined),
            c: async () => ({ documentVersion: 0n }),
        });
        expect(await resultOf(confirmerFor(hosts, "").confirm(500), 50)).toEqual(true);
        expect(hosts.calls).toEqual(["a", "b", "c"]);
    });

    it("gives up at the timeout, and asks at a bounded rate until then", async () => {
        const hosts = new TestControlHosts({ a: unavailable });
        expect(await resultOf(confirmerFor(hosts).confirm(500), 560)).toEqual(false);
        const rounds = hosts.calls.filter(url => url === "a").length;
        expect(rounds > 3 && rounds <= 10).toEqual(true);
    });

    it("does not count the answer of a host that has an older document, or none", async () => {
        const hosts = new TestControlHosts({ a: async () => ({ documentVersion: 4n, documentText: "four" }) });
        await resultOf(confirmerFor(hosts).confirm(500), 50);
        const restoring = new TestControlHosts({ a: async () => ({ documentVersion: 0n }) });
        expect(await resultOf(confirmerFor(restoring).confirm(300), 400)).toEqual(false);
    });

    it("does not count a document that cannot be read here as confirmed", async () => {
        view = new FleetView(() => undefined, silentLog);
        const hosts = new TestControlHosts({ a: async () => ({ documentVersion: 4n, documentText: "?" }) });
        expect(await resultOf(confirmerFor(hosts).confirm(300), 400)).toEqual(false);
    });
});
