import { expect } from "earl";
import fc from "fast-check";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { comeBackMs, type StreamIdentity, type StreamOrigin, type StreamOriginClient } from "../index.js";
import { advanceTime } from "./mocktimes.js";
import { streamOf, TestMembers, TestView } from "./testmembers.js";

const urls = ["m1", "m2", "m3", "m4", "m5"];
const notFound = { kind: "unknown", reason: "not-found" } as const;
const unreachable = { kind: "unknown", reason: "unreachable" } as const;
const known = (softwareVersion: string) => ({ kind: "known", softwareVersion }) as const;

describe("StreamOriginClient", () => {
    let members: TestMembers;
    let view: TestView;
    let served: StreamOriginClient;
    let other: StreamOriginClient;
    const signal = new AbortController().signal;

    beforeEach(() => {
        mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 });
        setUp();
    });
    afterEach(() => mock.timers.reset());

    function setUp(): void {
        members = new TestMembers(urls);
        view = new TestView(urls);
        view.versions = { chat: ["v1", "v2"], images: ["v1", "v2"] };
        served = members.client("served", view);
        other = members.client("other", view);
    }

    async function find(
        entry: StreamOriginClient,
        stream: StreamIdentity,
        ms = 400,
    ): Promise<StreamOrigin | "waiting"> {
        let result: StreamOrigin | "waiting" = "waiting";
        void entry.find(stream, signal).then(origin => result = origin);
        for (let elapsedMs = 0; elapsedMs < ms && result === "waiting"; elapsedMs += 10) {
            await advanceTime(10);
        }
        return result;
    }

    /** URLs of the members that have the record of the only stream. */
    const holders = () => [...members.stores].filter(([, store]) => store.size > 0).map(([url]) => url);

    describe("while a service has one version", () => {
        beforeEach(() => view.versions = { chat: ["v1"] });

        it("sends and asks nothing, and any entry knows the version", async () => {
            served.record(streamOf("a"), "v1");
            served.refresh();
            await advanceTime(100);
            expect(await find(other, streamOf("a"))).toEqual(known("v1"));
            expect([members.recordCalls, members.findCalls]).toEqual([0, 0]);
        });

        it("sends the records of recent streams once a second version appears", async () => {
            Array.from({ length: 1200 }, (_, i) => served.record(streamOf(`s${i}`), "v1"));
            await advanceTime(1000);
            view.versions = { chat: ["v1", "v2"] };
            served.refresh();
            await advanceTime(100);
            expect(members.recordCount).toEqual(2400);
            expect(await find(other, streamOf("s7"))).toEqual(known("v1"));
        });

        it("sends them with the next stream too, before the refresh", async () => {
            served.record(streamOf("a"), "v1");
            view.versions = { chat: ["v1", "v2"] };
            served.record(streamOf("b"), "v2");
            await advanceTime(20);
            expect(await find(other, streamOf("a"))).toEqual(known("v1"));
            expect(await find(other, streamOf("b"))).toEqual(known("v2"));
        });

        it("sends records while the set of versions isn't confirmed, and draws no conclusion from it", async () => {
            served.record(streamOf("a"), "v1");
            view.softwareVersionsConfirmedAgeMs = 4000;
            served.refresh();
            await advanceTime(20);
            expect(members.recordCount).toEqual(2);
            expect(await find(other, streamOf("a"))).toEqual(known("v1"));
            expect(await find(other, streamOf("b"))).toEqual(notFound);
        });

        it("sends all records before it stops, for a second version that may appear later", async () => {
            served.record(streamOf("a"), "v1");
            served.prepareStop();
            served.refresh();
            served.record(streamOf("b"), "v1");
            await advanceTime(20);
            served.close();
            view.versions = { chat: ["v1", "v2"] };
            expect(await find(other, streamOf("a"))).toEqual(known("v1"));
            expect(await find(other, streamOf("b"))).toEqual(known("v1"));
        });

        it("sends the record of a version that isn't in the set", async () => {
            served.record(streamOf("a"), "v9");
            await advanceTime(20);
            expect(members.recordCount).toEqual(2);
        });

        it("asks for streams of a service whose versions are unknown", async () => {
            expect(await find(other, streamOf("a", { service: "images" }))).toEqual(notFound);
        });
    });

    describe("with two versions", () => {
        it("finds a stream at another entry while one of its replicas lives", async () => {
            served.record(streamOf("a"), "v2");
            await advanceTime(20);
            const [first, second] = holders();
            members.down.add(first);
            expect(await find(other, streamOf("a"))).toEqual(known("v2"));
            members.down.add(second);
            expect(await find(other, streamOf("a"))).toEqual(unreachable);
        });

        it("never finds another version than the one that began a stream, whatever is down", async () => {
            const scenario = fc.record({
                streams: fc.array(fc.constantFrom("v1", "v2", ""), { minLength: 1, maxLength: 12 }),
                downBefore: fc.subarray(urls),
                downAfter: fc.subarray(urls),
                restarted: fc.subarray(urls),
            });
            await fc.assert(
                fc.asyncProperty(scenario, async ({ streams, downBefore, downAfter, restarted }) => {
                    setUp();
                    downBefore.forEach(url => members.down.add(url));
                    streams.forEach((version, i) => served.record(streamOf(`s${i}`), version));
                    await advanceTime(20);
                    restarted.forEach(url => members.start(url));
                    downAfter.forEach(url => members.down.add(url));
                    const noneFailed = downBefore.length + downAfter.length + restarted.length === 0;
                    for (const [i, version] of streams.entries()) {
                        const origin = await find(other, streamOf(`s${i}`));
                        const isRight = origin !== "waiting"
                            && (origin.kind === "unknown" ? !noneFailed : origin.softwareVersion === version);
                        expect(isRight).toEqual(true);
                    }
                    served.close();
                }),
                { numRuns: 25 },
            );
        });

        it("finds no stream with the same id of another service, route or account", async () => {
            served.record(streamOf("a"), "v1");
            await advanceTime(20);
            const strangers: Partial<StreamIdentity>[] = [
                { service: "images" },
                { host: "b.example" },
                { url: "/v1/chat?x=1" },
                { account: "other" },
                { account: undefined },
                { account: "" },
            ];
            for (const fields of strangers) {
                expect(await find(other, streamOf("a", fields))).toEqual(notFound);
                expect(await find(served, streamOf("a", fields))).toEqual(notFound);
            }
        });

        it("finds its own streams without a call, also while it is cut off", async () => {
            members.cutOff.add("served");
            served.record(streamOf("a"), "v2");
            expect(await find(served, streamOf("a"))).toEqual(known("v2"));
            expect(members.findCalls).toEqual(0);
            expect(await find(other, streamOf("a"))).toEqual(notFound);
        });

        it("says that no record could be asked for while it is cut off", async () => {
            served.record(streamOf("a"), "v2");
            await advanceTime(20);
            members.cutOff.add("other");
            expect(await find(other, streamOf("a"))).toEqual(unreachable);
        });

        it("sends a failed batch again", async () => {
            members.cutOff.add("served");
            served.record(streamOf("a"), "v2");
            await advanceTime(1000);
            expect(members.recordCount).toEqual(0);
            members.cutOff.delete("served");
            await advanceTime(200);
            expect(members.recordCount).toEqual(2);
        });

        it("sends records to the members that replace others", async () => {
            served.record(streamOf("a"), "v2");
            await advanceTime(20);
            const replaced = holders();
            members.start("m6");
            members.start("m7");
            replaced.forEach(url => members.down.add(url));
            view.urls = [...urls.filter(url => !replaced.includes(url)), "m6", "m7"];
            served.refresh();
            await advanceTime(20);
            expect(await find(other, streamOf("a"))).toEqual(known("v2"));
        });

        it("sends records again to a member that restarted without them", async () => {
            Array.from({ length: 40 }, (_, i) => served.record(streamOf(`s${i}`), "v1"));
            await advanceTime(20);
            urls.forEach(url => members.start(url));
            Array.from({ length: 40 }, (_, i) => served.record(streamOf(`t${i}`), "v2"));
            await advanceTime(40);
            expect(members.recordCount).toEqual(160);
        });

        it("sends the record of a stream that goes on so often that it is found as long as clients come back", async () => {
            for (let second = 0; second < 100; second++) {
                served.record(streamOf("a"), "v2");
                await advanceTime(1000);
            }
            expect(members.recordCalls).toBeLessThanOrEqual(2 * 6);
            await advanceTime(comeBackMs - 2000);
            expect(await find(other, streamOf("a"))).toEqual(known("v2"));
            await advanceTime(30_000);
            expect(await find(other, streamOf("a"))).toEqual(notFound);
        });

        it("shares one call between concurrent questions for a stream", async () => {
            served.record(streamOf("a"), "v2");
            await advanceTime(20);
            const questions = Promise.all(Array.from({ length: 20 }, () => other.find(streamOf("a"), signal)));
            await advanceTime(20);
            expect(await questions).toEqual(Array.from({ length: 20 }, () => known("v2")));
            expect(members.findCalls).toEqual(2);
        });

        it("stops waiting when the request is abandoned", async () => {
            const controller = new AbortController();
            const origin = other.find(streamOf("a"), controller.signal);
            controller.abort();
            expect(await origin).toEqual(unreachable);
            await advanceTime(400);
        });

        it("keeps the first of two versions of a stream, and counts the second", async () => {
            served.record(streamOf("a"), "v1");
            served.record(streamOf("a"), "v2");
            expect(await find(served, streamOf("a"))).toEqual(known("v1"));
            expect(members.metrics.toText()).toInclude("stream_origins_conflicting_total{at=\"entry\"} 1");
        });

        it("gives up waiting for silent members, and drops the oldest records for them", async () => {
            members.cutOff.add("served");
            for (let i = 0; i < 60_000; i++) {
                served.record(streamOf(`s${i}`), "v1");
            }
            await advanceTime(800);
            expect(members.metrics.toText()).toInclude("stream_origins_dropped_total");
            served.close();
        });
    });
});
