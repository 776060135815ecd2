/** Guards against streams that hold events of upstreams of two software versions. */
import { Deferred } from "@winchpath/core";
import { type StreamIdentity, type StreamOrigin, type StreamOrigins } from "@winchpath/streamorigins";
import { expect } from "earl";
import fc from "fast-check";
import { once } from "node:events";
import { Agent, type IncomingMessage } from "node:http";
import { afterEach, describe, it } from "node:test";
import { attempt, type ForwarderDependencies, LaxityOrder, maxResumedIdLength } from "../index.js";
import { type ClientResponse, RawUpstream, type ReceivedRequest, TestEntry, testRoute } from "./testservers.js";
import { testRequest } from "./waitinputs.js";

const route = { kind: "streaming", resumable: true, maxAttempts: 4, timeoutMs: 3000 } as const;
/** Events of a complete stream. */
const eventCount = 4;
/** Time for a state to be reached, in milliseconds. */
const waitTimeoutMs = 3000;

/** Keeps the origins of streams, as all entries together would. */
class FakeOrigins implements StreamOrigins {
    public readonly records = new Map<string, string>();
    public readonly finds: StreamIdentity[] = [];

    /** `missing`: result for streams without a record. */
    public constructor(private readonly missing: StreamOrigin = { kind: "unknown", reason: "not-found" }) {}

    public record(stream: StreamIdentity, softwareVersion: string): void {
        this.records.set(JSON.stringify(stream), softwareVersion);
    }

    public async find(stream: StreamIdentity): Promise<StreamOrigin> {
        this.finds.push(stream);
        const softwareVersion = this.records.get(JSON.stringify(stream));
        return softwareVersion === undefined ? this.missing : { kind: "known", softwareVersion };
    }
}

/** Values of the description of an upstream that serves another service for now. */
const absent = { service: "other" };

/** Writes the rest of a stream, with the version in each event. */
class StreamWriter {
    /** Breaks the stream off after this event. */
    public breakAfter = Number.POSITIVE_INFINITY;
    public mayBreak = Promise.resolve();
    public upstream!: RawUpstream;
    public onRequest: (received: ReceivedRequest) => void = () => undefined;

    public constructor(public readonly version: string) {}

    public readonly respond = (received: ReceivedRequest): void => {
        this.onRequest(received);
        const { id, head, socket } = received;
        // The test codec adds the entry's header after the client's.
        const after = Number([...head.matchAll(/^last-event-id: (\d+)/gim)].at(-1)?.[1] ?? 0);
        socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n`);
        for (let event = after + 1; event <= Math.min(this.breakAfter, eventCount); event++) {
            const text = `id: ${event}\ndata: ${this.version}\n\n`;
            socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
        }
        if (this.breakAfter < eventCount) {
            void this.mayBreak.then(() => socket.end());
            return;
        }
        socket.write("0\r\n\r\n");
    };
}

/** Versions of the events in a body, in order. */
function versionsIn(body: string): string[] {
    return [...body.matchAll(/^data: (.*)$/gm)].map(([, version]) => version);
}

function lastEventIn(body: string): string | undefined {
    return [...body.matchAll(/^id: (.*)$/gm)].at(-1)?.[1];
}

describe("streams of upstreams of several software versions", () => {
    const entries: TestEntry[] = [];
    const writers: StreamWriter[] = [];

    afterEach(async () => {
        await Promise.all(entries.splice(0).map(entry => entry.stop()));
        writers.splice(0).forEach(({ upstream }) => upstream.stop());
    });

    /** Starts one upstream of each of the versions: u0, u1 and so on. */
    async function startUpstreams(...versions: string[]): Promise<StreamWriter[]> {
        for (const version of versions) {
            const writer = new StreamWriter(version);
            writer.upstream = await RawUpstream.start(received => writer.respond(received));
            writers.push(writer);
        }
        return writers;
    }

    type Overrides = Pick<ForwarderDependencies, "streamOrigins" | "sendAttempt">;

    async function startEntry(overrides: Overrides = {}, values: object = route): Promise<TestEntry> {
        const entry = new TestEntry(
            TestEntry.configuration([testRoute(values)]),
            1e6,
            { strict: false, withinMs: 0 },
            overrides,
        );
        entries.push(entry);
        await entry.start();
        entry.setUpstreams(...writers.map((_, index) => described(index)));
        return entry;
    }

    function described(index: number, values: object = {}) {
        const { version, upstream } = writers[index];
        return { id: `u${index}`, address: upstream.address, softwareVersion: version, ...values };
    }

    function receivedCounts(): number[] {
        return writers.map(({ upstream }) => upstream.received.length);
    }

    function comeBack(entry: TestEntry, resumes: string | undefined, headers: object = {}): Promise<ClientResponse> {
        const named = resumes === undefined ? {} : { "X-Resumes": resumes };
        return entry.call("back", { headers: { "Last-Event-Id": "2", ...named, ...headers } });
    }

    /** Has only one upstream serve at first. */
    function hideAllBut(entry: TestEntry, index: number): void {
        entry.setUpstreams(...writers.map((_, other) => described(other, other === index ? {} : absent)));
    }

    describe("within one response", () => {
        it("breaks off if only upstreams of another version are left", async () => {
            const [first] = await startUpstreams("1", "2");
            const entry = await startEntry();
            first.breakAfter = 2;
            first.onRequest = () => entry.setUpstreams(described(1), described(0, absent));
            hideAllBut(entry, 0);
            const { status, body, whole } = await entry.call("a");
            expect({ status, whole, versions: versionsIn(body) }).toEqual({
                status: 200,
                whole: false,
                versions: ["1", "1"],
            });
            expect(receivedCounts()).toEqual([1, 0]);
        });

        it("goes on at another upstream of its version", async () => {
            const [first] = await startUpstreams("1", "2", "1");
            const entry = await startEntry();
            first.breakAfter = 2;
            first.onRequest = () => entry.setUpstreams(described(0, absent), described(1), described(2));
            hideAllBut(entry, 0);
            const { body, whole } = await entry.call("a");
            expect({ whole, versions: versionsIn(body) }).toEqual({ whole: true, versions: ["1", "1", "1", "1"] });
            expect(receivedCounts()).toEqual([1, 0, 1]);
        });

        it("is free until the first event", async () => {
            const [first] = await startUpstreams("1", "2");
            const entry = await startEntry();
            first.breakAfter = 0;
            first.onRequest = () => entry.setUpstreams(described(0, absent), described(1));
            hideAllBut(entry, 0);
            const { body, whole } = await entry.call("a");
            expect({ whole, versions: versionsIn(body) }).toEqual({ whole: true, versions: ["2", "2", "2", "2"] });
        });

        it("keeps the version that began it when the upstream's description changes", async () => {
            const [first] = await startUpstreams("1", "2", "1");
            const entry = await startEntry();
            first.breakAfter = 2;
            hideAllBut(entry, 0);
            const changed = new Deferred<void>();
            first.mayBreak = changed.promise;
            const req = entry.open("a");
            req.end();
            const [res] = await once(req, "response") as [IncomingMessage];
            const chunks: string[] = [];
            res.on("data", chunk => chunks.push(String(chunk)));
            await once(res, "data");
            entry.setUpstreams(described(0, { softwareVersion: "2" }), described(1), described(2));
            changed.resolve();
            await once(res, "end");
            expect(versionsIn(chunks.join(""))).toEqual(["1", "1", "1", "1"]);
            expect(receivedCounts()).toEqual([1, 0, 1]);
        });

        it("isn't sent to an upstream that was replaced by one of another version", async () => {
            const [first] = await startUpstreams("1", "1");
            let sends = 0;
            const entry = await startEntry({
                sendAttempt: (request, endpoint, options) => {
                    sends += 1;
                    if (sends === 2) {
                        entry.setUpstreams(described(1, { softwareVersion: "2" }));
                    }
                    return attempt(request, endpoint, options);
                },
            });
            first.breakAfter = 2;
            first.onRequest = () => entry.setUpstreams(described(0, absent), described(1));
            hideAllBut(entry, 0);
            const { body, whole } = await entry.call("a");
            expect({ sends, whole, versions: versionsIn(body) }).toEqual({
                sends: 2,
                whole: false,
                versions: ["1", "1"],
            });
            expect(receivedCounts()).toEqual([1, 0]);
        });

        it("takes no event of an upstream that turns out to be of another version", async () => {
            const [first, second] = await startUpstreams("1", "2");
            const entry = await startEntry();
            first.breakAfter = 2;
            first.onRequest = () => entry.setUpstreams(described(0, absent), described(1, { softwareVersion: "1" }));
            second.onRequest = () => entry.setUpstreams(described(1));
            hideAllBut(entry, 0);
            const { body, whole } = await entry.call("a");
            expect({ whole, versions: versionsIn(body) }).toEqual({ whole: false, versions: ["1", "1"] });
            expect(receivedCounts()).toEqual([1, 1]);
        });
    });

    describe("that clients take up again", () => {
        const stream = { id: "a", service: "s", host: "h.example", url: "/a/b?c=%41", account: undefined };

        it("go on only at the version that began them, at any entry", async () => {
            await startUpstreams("1", "2", "1");
            const origins = new FakeOrigins();
            const [one, other] = [
                await startEntry({ streamOrigins: origins }),
                await startEntry({ streamOrigins: origins }),
            ];
            writers[1].breakAfter = 2;
            hideAllBut(one, 1);
            const first = await one.call("a");
            expect(versionsIn(first.body)).toEqual(["2", "2"]);
            expect([...origins.records]).toEqual([[JSON.stringify(stream), "2"]]);
            writers[1].breakAfter = Number.POSITIVE_INFINITY;
            for (let turn = 0; turn < 8; turn++) {
                const { status, body, whole } = await comeBack(other, "a");
                expect({ status, whole, versions: versionsIn(body) }).toEqual({
                    status: 200,
                    whole: true,
                    versions: ["2", "2"],
                });
            }
            expect([...origins.records]).toEqual([[JSON.stringify(stream), "2"]]);
            expect(receivedCounts()[0] + receivedCounts()[2]).toEqual(0);
            expect(other.metrics.toText()).toInclude("streams_resumed_total{outcome=\"known\"} 8");
        });

        it("are rejected at once if their version is unknown", async () => {
            await startUpstreams("1", "2");
            for (const reason of ["not-found", "unreachable"] as const) {
                const entry = await startEntry({ streamOrigins: new FakeOrigins({ kind: "unknown", reason }) });
                const agent = new Agent({ keepAlive: true });
                const { status, headers, body } = await entry.call("back", {
                    agent,
                    headers: { "Last-Event-Id": "2", "X-Resumes": "a" },
                });
                agent.destroy();
                expect({ status, body }).toEqual({ status: 503, body: "{\"error\":\"stream-version-unknown\"}" });
                expect(Number(headers["retry-after"])).toBeGreaterThan(0);
                expect(headers.connection === "close").toEqual(reason === "unreachable");
            }
            expect(receivedCounts()).toEqual([0, 0]);
        });

        it("are rejected if the search fails or ends with their time", async () => {
            await startUpstreams("1", "2");
            const finds = [() => Promise.reject(new Error("failed")), () => new Promise<StreamOrigin>(() => undefined)];
            for (const find of finds) {
                const entry = await startEntry({ streamOrigins: { record: () => undefined, find } });
                const { status, body } = await comeBack(entry, "a", { "X-Deadline": 300 });
                expect({ status, body }).toEqual({ status: 503, body: "{\"error\":\"stream-version-unknown\"}" });
            }
            expect(receivedCounts()).toEqual([0, 0]);
        });

        it("go on without a usable id only if one version may have begun them", async () => {
            await startUpstreams("1", "2");
            for (const id of [undefined, "", "x".repeat(maxResumedIdLength + 1)]) {
                const origins = new FakeOrigins();
                const entry = await startEntry({ streamOrigins: origins });
                expect((await comeBack(entry, id)).status).toEqual(503);
                expect(origins.finds).toEqual([{ ...stream, id: "" }]);
                const single = await startEntry({
                    streamOrigins: new FakeOrigins({ kind: "known", softwareVersion: "2" }),
                });
                expect(versionsIn((await comeBack(single, id)).body)).toEqual(["2", "2"]);
            }
            expect(receivedCounts()).toEqual([0, 3]);
        });

        it("begin anew if the client has no event yet", async () => {
            await startUpstreams("1");
            const origins = new FakeOrigins();
            const entry = await startEntry({ streamOrigins: origins });
            const { status, whole } = await entry.call("b", { headers: { "X-Resumes": "a" } });
            expect({ status, whole, finds: origins.finds }).toEqual({ status: 200, whole: true, finds: [] });
            expect([...origins.records]).toEqual([[JSON.stringify({ ...stream, id: "b" }), "1"]]);
        });

        it("are not looked up on routes that don't resume streams", async () => {
            await startUpstreams("1", "2");
            for (const values of [{ kind: "streaming", resumable: false }, { kind: "safe" }]) {
                const origins = new FakeOrigins();
                const entry = await startEntry({ streamOrigins: origins }, values);
                expect((await comeBack(entry, "a")).status).toEqual(200);
                expect({ finds: origins.finds, records: origins.records.size }).toEqual({ finds: [], records: 0 });
            }
        });

        it("go on anywhere at an entry without shared records", async () => {
            await startUpstreams("1");
            const { status, body } = await comeBack(await startEntry(), "a");
            expect({ status, versions: versionsIn(body) }).toEqual({ status: 200, versions: ["1", "1"] });
        });

        it("are known by their path and host as well as their id", async () => {
            await startUpstreams("1", "2");
            const origins = new FakeOrigins();
            origins.record(stream, "1");
            const entry = await startEntry({ streamOrigins: origins });
            const headers = { "Last-Event-Id": "2", "X-Resumes": "a" };
            expect((await entry.call("b", { path: "/other", headers })).status).toEqual(503);
            expect((await entry.call("b", { headers })).status).toEqual(200);
        });

        it("are known by their client account", async () => {
            await startUpstreams("1");
            const origins = new FakeOrigins();
            const entry = await startEntry({ streamOrigins: origins });
            const request = { ...testRequest(testRoute(route), 0), abortSignal: new AbortController().signal };
            const metadata = { ...request.metadata, resumeFrom: "2", resumedId: "a" };
            const responded = { destroyed: false, writeHead: () => undefined, end: () => undefined };
            for (const account of ["c1", "c2"]) {
                const grant = { account } as typeof request.grant;
                await entry.forwarder.serve({ ...request, metadata, grant }, responded as never);
            }
            expect(origins.finds.map(({ account }) => account)).toEqual(["c1", "c2"]);
        });
    });

    describe("that go on", () => {
        const known = (softwareVersion: string) => ({
            streamOrigins: new FakeOrigins({ kind: "known", softwareVersion }),
        });

        it("are rejected at once if no upstream of their version is known", async () => {
            await startUpstreams("1");
            const entry = await startEntry(known("2"), { ...route, objectiveMs: 10_000, timeoutMs: 10_000 });
            const startedAt = performance.now();
            const { status, headers, body } = await comeBack(entry, "a");
            expect({ status, body }).toEqual({ status: 503, body: "{\"error\":\"stream-version-absent\"}" });
            expect(Number(headers["retry-after"])).toBeGreaterThan(0);
            expect(performance.now() - startedAt).toBeLessThan(1000);
            expect(receivedCounts()).toEqual([0]);
        });

        it("wait for their model at upstreams of their version", async () => {
            await startUpstreams("1", "2");
            const entry = await startEntry(known("2"), { ...route, objectiveMs: 5000 });
            const held = [{ name: "m", version: 1n, adapters: [], leaving: false, readyInMs: 0 }] as never;
            entry.setUpstreams(described(0, { models: held }));
            const back = comeBack(entry, "a", { "X-Model": "m" });
            await waitFor(() => entry.forwarder.waiting === 1);
            entry.setUpstreams(described(1, { models: held }));
            expect(versionsIn((await back).body)).toEqual(["2", "2"]);
            expect(receivedCounts()).toEqual([0, 1]);
        });

        it("stand ahead of new streams of the same urgency, and behind more urgent ones", () => {
            const order = new LaxityOrder({ appliesTo: () => false, workMs: () => 0 });
            const request = (priority: number, softwareVersion?: string) => ({
                ...testRequest(testRoute(route), 0),
                priority,
                softwareVersion,
            });
            expect(order.compare(request(1, "1"), request(1))).toBeLessThan(0);
            expect(order.compare(request(1), request(1, ""))).toBeGreaterThan(0);
            expect(order.compare(request(1, "1"), request(1, "2"))).toEqual(0);
            expect(order.compare(request(2, "1"), request(1))).toBeGreaterThan(0);
        });
    });

    it("never hold events of two versions, whatever breaks, returns and changes", async () => {
        const upstreamCount = 4;
        const aTry = fc.record({
            entry: fc.integer({ min: 0, max: 1 }),
            breaks: fc.array(fc.integer({ min: 0, max: eventCount }), {
                minLength: upstreamCount,
                maxLength: upstreamCount,
            }),
            present: fc.array(fc.boolean(), { minLength: upstreamCount, maxLength: upstreamCount }),
            /** Present from the middle of the response on. */
            presentLater: fc.array(fc.boolean(), { minLength: upstreamCount, maxLength: upstreamCount }),
        });
        await startUpstreams("1", "2", "1", "2");
        const origins = new FakeOrigins();
        const pair = [await startEntry({ streamOrigins: origins }), await startEntry({ streamOrigins: origins })];
        let streams = 0;
        let continued = 0;
        const show = (entry: TestEntry, present: readonly boolean[]) =>
            entry.setUpstreams(...present.map((isPresent, index) => described(index, isPresent ? {} : absent)));
        await fc.assert(
            fc.asyncProperty(fc.array(aTry, { minLength: 2, maxLength: 5 }), async tries => {
                const stream = `s${streams++}`;
                let beganIn: string | undefined;
                let all = "";
                for (const [index, { entry, breaks, present, presentLater }] of tries.entries()) {
                    show(pair[entry], present);
                    writers.forEach((writer, position) => {
                        writer.breakAfter = breaks[position];
                        writer.onRequest = () => show(pair[entry], presentLater);
                    });
                    const id = `${stream}-${index}`;
                    const headers = beganIn === undefined
                        ? {}
                        : { "Last-Event-Id": lastEventIn(all)!, "X-Resumes": beganIn };
                    const { status, body, whole } = await pair[entry].call(id, { headers });
                    if (status !== 200) {
                        continue;
                    }
                    continued += all !== "" && lastEventIn(body) !== undefined ? 1 : 0;
                    all += body;
                    beganIn ??= lastEventIn(all) === undefined ? undefined : id;
                    expect(new Set(versionsIn(all)).size).toBeLessThanOrEqual(1);
                    if (whole) {
                        break;
                    }
                }
                const ids = [...all.matchAll(/^id: (.*)$/gm)].map(([, event]) => Number(event));
                expect(ids).toEqual(ids.map((_, position) => position + 1));
            }),
            { numRuns: 150 },
        );
        expect(continued).toBeGreaterThan(10);
    });
});

async function waitFor(condition: () => boolean): Promise<void> {
    const deadline = performance.now() + waitTimeoutMs;
    while (!condition()) {
        expect(performance.now()).toBeLessThan(deadline);
        await new Promise(resolve => setImmediate(resolve));
    }
}
