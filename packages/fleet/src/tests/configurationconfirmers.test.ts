import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { Metrics, silentLog } from "@winchpath/core";
import { type RpcClients } from "@winchpath/rpc";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { ConfirmResponseSchema, PollResponseSchema } from "../gen/winchpath/fleet/v1/fleet_pb.js";
import { ConfigurationConfirmer, FleetView } from "../index.js";
import { advanceTime } from "./mocktimes.js";

const askAfterMs = 1000;

type Reply = () => Promise<MessageInitShape<typeof ConfirmResponseSchema>>;

/** Control hosts that answer confirmations, with the calls that each received. */
class TestControlHosts {
    public readonly calls: string[] = [];

    /** `endsCalls`: whether calls end at their timeout. */
    /** Hosts whose connections were given up for further calls. */
    public readonly silent: string[] = [];

    public constructor(private readonly replies: Record<string, Reply>, private readonly endsCalls = false) {}

    public clients(): Pick<RpcClients, "client" | "retireSilent"> {
        const open = (_service: unknown, url: string) => ({
            confirm: async (_req: unknown, { timeoutMs }: { readonly timeoutMs: number; }) => {
                this.calls.push(url);
                const timeout = new Promise<never>((_, reject) => {
                    const error = new ConnectError("the operation timed out", Code.DeadlineExceeded);
                    setTimeout(() => this.endsCalls && reject(error), timeoutMs);
                });
                return create(ConfirmResponseSchema, await Promise.race([this.replies[url](), timeout]));
            },
        });
        return {
            client: open as unknown as RpcClients["client"],
            retireSilent: url => void this.silent.push(url),
        };
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
        const options = {
            entry: "e",
            leaderUrl: () => leaderUrl,
            controlUrls: () => ["a", "b", "c"],
            seedUrls: () => [],
            askAfterMs,
        };
        return new ConfigurationConfirmer(view, hosts.clients(), options, silentLog, new Metrics());
    }

    async function resultOf(confirmation: Promise<boolean>, ms: number): Promise<boolean | "waiting"> {
        let result: boolean | "waiting" = "waiting";
        void confirmation.then(confirmed => result = confirmed);
        await advanceTime(ms);
        return result;
    }

    const unavailable: Reply = () => Promise.reject(new Error("unavailable"));
    const refused: Reply = () => {
        const cause = Object.assign(new Error("connect ECONNREFUSED"), { code: "ECONNREFUSED" });
        return Promise.reject(new ConnectError("refused", Code.Unavailable, undefined, undefined, cause));
    };

    /** Guards against requests being rejected for seconds once all control hosts have ended. */
    it("is cut off after one round in which most hosts refuse connections, and asks each of them once", async () => {
        const hosts = new TestControlHosts({ a: refused, b: refused, c: refused });
        const confirmer = confirmerFor(hosts);
        expect(await resultOf(confirmer.confirm(600), 200)).toEqual(false);
        expect([confirmer.isCutOff, hosts.calls]).toEqual([true, ["a", "b", "c"]]);
    });

    it("is not cut off after one round in which some hosts are silent and others refuse connections", async () => {
        const silent: Reply = () => new Promise(() => undefined);
        const confirmer = confirmerFor(new TestControlHosts({ a: silent, b: silent, c: refused }, true));
        await resultOf(confirmer.confirm(600), 640);
        expect(confirmer.isCutOff).toEqual(false);
    });

    /** Guards against rejecting requests for want of a confirmation that control hosts give, but later than a round lasts. */
    it("is confirmed as of the question by a response that comes after its round", async () => {
        const late: Reply = async () => {
            await new Promise(resolve => setTimeout(resolve, 900));
            return { documentVersion: 0n };
        };
        const hosts = new TestControlHosts({ a: late, b: late, c: late }, true);
        const confirmer = confirmerFor(hosts);
        const askedAt = Date.now();
        expect(await resultOf(confirmer.confirm(600), 650)).toEqual(false);
        expect(hosts.silent.includes("a")).toEqual(true);
        await advanceTime(300);
        expect(view.confirmedAt >= askedAt && view.confirmedAgeMs >= 900).toEqual(true);
        expect(confirmer.isCutOff).toEqual(false);
    });

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
        const hosts = new TestControlHosts({ a: unavailable, b: unavailable, c: unavailable });
        expect(await resultOf(confirmerFor(hosts).confirm(500), 560)).toEqual(false);
        const calls = hosts.calls.filter(url => url === "a").length;
        expect(calls > 3 && calls <= 10).toEqual(true);
    });

    // Guards against an entry that takes a missing answer as permission: it has to know that it is cut off.
    describe("an entry without a confirmation", () => {
        const silent: Reply = () => new Promise(() => undefined);
        const undecided: Reply = () => Promise.reject(new ConnectError("no majority", Code.FailedPrecondition));
        const lost: Reply = () => Promise.reject(new ConnectError("connection aborted", Code.Canceled));
        let abort: AbortController;

        /** Runs a confirmer whose calls end at their timeout. Returns when it counts as cut off, within 8 s. */
        async function cutOffAfterMs(replies: Record<string, Reply>, leaderUrl = "a"): Promise<number | undefined> {
            view.apply(create(PollResponseSchema, { documentVersion: 1n, documentText: "one" }), Date.now());
            const hosts = new TestControlHosts(replies, true);
            const confirmer = confirmerFor(hosts, leaderUrl);
            void confirmer.run(abort.signal);
            for (let ms = 0; ms < 8000; ms += 20) {
                if (confirmer.isCutOff) {
                    return ms;
                }
                await advanceTime(20);
            }
            return undefined;
        }

        beforeEach(() => abort = new AbortController());

        afterEach(() => abort.abort());

        it("is cut off once two rounds have shown that most control hosts are silent", async () => {
            const ms = await cutOffAfterMs({ a: silent, b: silent, c: undecided });
            expect(ms! > askAfterMs + 1200 && ms! < askAfterMs + 1500).toEqual(true);
        });

        it("waits for the whole time of a round for hosts whose connections fail at once", async () => {
            const ms = await cutOffAfterMs({ a: lost, b: lost, c: lost });
            expect(ms! > askAfterMs + 1200 && ms! < askAfterMs + 1500).toEqual(true);
        });

        it("is not cut off for seconds while most control hosts respond, although none can confirm", async () => {
            const ms = await cutOffAfterMs({ a: silent, b: undecided, c: undecided });
            expect(ms! > askAfterMs + 4000 && ms! < askAfterMs + 6000).toEqual(true);
        });

        it("asks nothing while confirmations come by themselves", async () => {
            const hosts = new TestControlHosts({ a: silent, b: silent, c: silent }, true);
            const confirmer = confirmerFor(hosts);
            void confirmer.run(abort.signal);
            for (let index = 0; index < 20; index++) {
                view.apply(create(PollResponseSchema, { documentVersion: 1n, documentText: "one" }), Date.now());
                await advanceTime(500);
            }
            expect(hosts.calls).toEqual([]);
            expect(confirmer.isCutOff).toEqual(false);
        });

        it("counts rounds anew after a confirmation by the feed", async () => {
            const apply = () =>
                view.apply(create(PollResponseSchema, { documentVersion: 1n, documentText: "one" }), Date.now());
            apply();
            const confirmer = confirmerFor(new TestControlHosts({ a: silent, b: silent, c: silent }, true));
            void confirmer.run(abort.signal);
            await advanceTime(3000);
            expect(confirmer.isCutOff).toEqual(true);
            apply();
            expect(confirmer.isCutOff).toEqual(false);
            await advanceTime(askAfterMs + 900);
            expect(confirmer.isCutOff).toEqual(false);
            await advanceTime(700);
            expect(confirmer.isCutOff).toEqual(true);
        });

        it("is not cut off by what was seen before the process stood still", async () => {
            view.apply(create(PollResponseSchema, { documentVersion: 1n, documentText: "one" }), Date.now());
            const confirmer = confirmerFor(new TestControlHosts({ a: silent, b: silent, c: silent }, true));
            void confirmer.run(abort.signal);
            await advanceTime(3000);
            expect(confirmer.isCutOff).toEqual(true);
            mock.timers.setTime(Date.now() + 5000);
            expect(confirmer.isCutOff).toEqual(false);
        });

        it("is in touch again with the first confirmation", async () => {
            let reply = silent;
            view.apply(create(PollResponseSchema, { documentVersion: 1n, documentText: "one" }), Date.now());
            const answer: Reply = () => reply();
            const confirmer = confirmerFor(new TestControlHosts({ a: answer, b: answer, c: answer }, true));
            void confirmer.run(abort.signal);
            await advanceTime(3000);
            expect(confirmer.isCutOff).toEqual(true);
            expect(await resultOf(confirmer.confirm(500), 50)).toEqual(false);
            reply = async () => ({ documentVersion: 2n, documentText: "two" });
            await advanceTime(800);
            expect([confirmer.isCutOff, view.version]).toEqual([false, 2]);
        });
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
