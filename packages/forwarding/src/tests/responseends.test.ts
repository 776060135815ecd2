/** Guards against responses that their upstream broke off and that reach callers as complete. */
import { UpstreamState } from "@winchpath/fleet";
import { expect } from "earl";
import { once } from "node:events";
import { type IncomingMessage } from "node:http";
import { connect } from "node:net";
import { afterEach, describe, it } from "node:test";
import {
    type ConnectionEnd,
    type Delivery,
    encodeBody,
    encodeHead,
    type Framing,
    lineEnds,
    sendAndEnd,
    threeEvents,
} from "./brokenresponses.js";
import { type ClientResponse, type ReceivedRequest, TestSetup } from "./testservers.js";

const framings: readonly Framing[] = ["length", "chunked", "close"];
const connectionEnds: readonly ConnectionEnd[] = ["FIN", "reset"];
const deliveries: readonly Delivery[] = ["at once", "byte by byte", "end later"];

/** Parallel requests of one test. */
const concurrency = 16;

/** A response that ends after `sentBytes` of its encoded body. */
interface CutCase {
    readonly lineEnd: string;
    readonly delivery: Delivery;
    readonly sentBytes: number;
}

function casesFor(framing: Framing): CutCase[] {
    return Object.values(lineEnds).flatMap(lineEnd =>
        deliveries.flatMap(delivery => {
            const { length } = encodeBody(framing, threeEvents(lineEnd));
            return Array.from({ length: length + 1 }, (_, sentBytes) => ({ lineEnd, delivery, sentBytes }));
        })
    );
}

/** Runs `check` for all cases, some at a time. */
async function forEachCase(cases: readonly CutCase[], check: (cut: CutCase) => Promise<void>): Promise<void> {
    const queue = [...cases];
    await Promise.all(Array.from({ length: concurrency }, async () => {
        for (let cut = queue.pop(); cut !== undefined; cut = queue.pop()) {
            await check(cut);
        }
    }));
}

describe("a stream that its upstream breaks off", () => {
    let setup: TestSetup;

    afterEach(() => setup.stop());

    /** Cases by request id. */
    const cuts = new Map<string, CutCase>();

    async function call(cut: CutCase): Promise<ClientResponse> {
        const id = `${cut.delivery} ${JSON.stringify(cut.lineEnd)} ${cut.sentBytes}`.replace(/\W+/g, "-");
        cuts.set(id, cut);
        return setup.entry.call(id);
    }

    const respondAs = (framing: Framing, end: ConnectionEnd) => ({ id, socket }: ReceivedRequest) => {
        const { lineEnd, delivery, sentBytes } = cuts.get(id)!;
        const events = threeEvents(lineEnd);
        const body = encodeBody(framing, events);
        const head = encodeHead(id, framing, body.length);
        void sendAndEnd(socket, head + body.slice(0, sentBytes), end, delivery);
    };

    /**
     * Whether the caller must get a complete response: all of it was sent, or nothing at the connection tells that it was not.
     * After a reset the entry may not have received what was sent before.
     */
    function wholeness(framing: Framing, end: ConnectionEnd, { lineEnd, sentBytes }: CutCase): "yes" | "no" | "either" {
        const events = threeEvents(lineEnd);
        if (framing === "close") {
            return end === "FIN" && endsOfEvents(events).includes(sentBytes) ? "yes" : "no";
        }
        const isWhole = sentBytes === encodeBody(framing, events).length;
        return !isWhole ? "no" : end === "FIN" ? "yes" : "either";
    }

    for (const framing of framings) {
        for (const end of connectionEnds) {
            it(`reaches its caller as broken off if framed by ${framing} and ended by ${end}`, async () => {
                setup = await TestSetup.start({ kind: "streaming", maxAttempts: 1 }, [respondAs(framing, end)]);
                await forEachCase(casesFor(framing), async cut => {
                    const { status, body, whole } = await call(cut);
                    const seen = { cut, status, body, whole, isWhole: status === 200 && whole };
                    const expected = wholeness(framing, end, cut);
                    expect(seen).toEqual({
                        ...seen,
                        isWhole: expected === "either" ? seen.isWhole : expected === "yes",
                    });
                    const events = threeEvents(cut.lineEnd);
                    const prefixes = [0, ...endsOfEvents(events)].map(length => events.join("").slice(0, length));
                    if (seen.isWhole) {
                        const length = framing === "close" ? cut.sentBytes : events.join("").length;
                        expect({ cut, body }).toEqual({ cut, body: events.join("").slice(0, length) });
                    }
                    else if (status === 200) {
                        expect({ cut, prefixes }).toEqual({ cut, prefixes: expect.includes(body) });
                    }
                    if (!seen.isWhole && end === "FIN" && framing !== "chunked") {
                        // All complete events that were sent, or an error if there are none.
                        const sent = prefixes.filter(({ length }) => length <= cut.sentBytes).at(-1);
                        expect({ cut, body: status === 200 ? body : "" }).toEqual({ cut, body: sent! });
                    }
                });
            });

            it(`goes on elsewhere after its last complete event if framed by ${framing} and ended by ${end}`, async () => {
                const attempts = new Map<string, number>();
                const cutFirst = (received: ReceivedRequest) => {
                    const attempt = attempts.get(received.id) ?? 0;
                    attempts.set(received.id, attempt + 1);
                    if (attempt === 0) {
                        respondAs(framing, end)(received);
                        return;
                    }
                    const after = Number(/last-event-id: (\d+)/i.exec(received.head)?.[1] ?? 0);
                    const rest = threeEvents(cuts.get(received.id)!.lineEnd).slice(after).join("");
                    received.socket.write(encodeHead(received.id, "length", rest.length) + rest);
                };
                const route = { kind: "streaming", resumable: true, maxAttempts: 2 } as const;
                setup = await TestSetup.start(route, [cutFirst, cutFirst], undefined, 1e6);
                await forEachCase(casesFor(framing), async cut => {
                    const { status, body, whole } = await call(cut);
                    const all = threeEvents(cut.lineEnd).join("");
                    const isUndetectable = framing === "close" && wholeness(framing, end, cut) === "yes";
                    const expected = isUndetectable ? all.slice(0, cut.sentBytes) : all;
                    expect({ cut, status, body, whole }).toEqual({ cut, status: 200, body: expected, whole: true });
                });
            });
        }
    }
});

// Guards against streams that count as complete because their framing is, or because another upstream had sent an event.
describe("a stream", () => {
    const events = threeEvents(lineEnds.LF);
    let setup: TestSetup;

    afterEach(() => setup.stop());

    for (const framing of ["length", "chunked"] as const) {
        it(`is broken off if its body is complete by ${framing} but ends inside an event`, async () => {
            const respond = ({ id, socket }: ReceivedRequest) => {
                const text = events.join("").slice(0, Number(id));
                socket.write(encodeHead(id, framing, text.length) + encodeBody(framing, text === "" ? [] : [text]));
            };
            setup = await TestSetup.start({ kind: "streaming", maxAttempts: 1 }, [respond]);
            for (let length = 0; length <= events.join("").length; length++) {
                const { status, whole } = await setup.entry.call(String(length));
                const isWhole = [0, ...endsOfEvents(events)].includes(length);
                expect({ length, isWhole: status === 200 && whole }).toEqual({ length, isWhole });
            }
        });
    }

    it("is broken off if it goes on at an upstream that ends before its first event", async () => {
        for (const rest of ["", ": ping\n\n"]) {
            let count = 0;
            const respond = ({ id, socket }: ReceivedRequest) =>
                void socket.end(encodeHead(id, "close", 0) + (count++ === 0 ? events.join("").slice(0, 30) : rest));
            setup = await TestSetup.start({ kind: "streaming", resumable: true, maxAttempts: 2 }, [respond, respond]);
            const { body, whole } = await setup.entry.call("q1");
            expect({ body: body.replace(rest, ""), whole, count }).toEqual({ body: events[0], whole: false, count: 2 });
            await setup.stop();
        }
    });

    it("does not go on after an event without an id, which would be sent twice", async () => {
        const text = `${events[0]}data: without id\n\ndata: cut`;
        const respond = ({ id, socket }: ReceivedRequest) => void socket.end(encodeHead(id, "close", 0) + text);
        setup = await TestSetup.start({ kind: "streaming", resumable: true, maxAttempts: 2 }, [respond, respond]);
        const { whole } = await setup.entry.call("q1");
        expect([whole, setup.upstreams.flatMap(({ received }) => received).length]).toEqual([false, 1]);
    });

    it("may be a response of another type, which is forwarded unchanged", async () => {
        const respond = ({ id, socket }: ReceivedRequest) => {
            const head = encodeHead(id, "length", 7).replace("X-Id", "Content-Type: application/json\r\nX-Id");
            socket.write(`${head}{"a":1}`);
        };
        setup = await TestSetup.start({ kind: "streaming" }, [respond]);
        const { status, body, whole } = await setup.entry.call("q1");
        expect({ status, body, whole }).toEqual({ status: 200, body: "{\"a\":1}", whole: true });
    });
});

// Guards against cut responses that look complete because nothing but the end of the connection delimits them.
describe("a response without framing, or to a client without chunks,", () => {
    const events = threeEvents(lineEnds.LF);
    /** Larger than what an entry reads before it forwards a response. */
    const largeBody = "x".repeat(300 * 1024);
    let setup: TestSetup;

    afterEach(() => setup.stop());

    /** Sends a request as an HTTP/1.0 client; resolves to the response and to how the connection ended. */
    function callHttp10(id: string): Promise<{ readonly text: string; readonly end: ConnectionEnd; }> {
        return new Promise(resolve => {
            const socket = connect(setup.entry.listener.port, "127.0.0.1");
            const chunks: Buffer[] = [];
            socket.on("data", chunk => chunks.push(chunk));
            socket.on("end", () => resolve({ text: Buffer.concat(chunks).toString(), end: "FIN" }));
            socket.on("error", () => resolve({ text: Buffer.concat(chunks).toString(), end: "reset" }));
            socket.write(`GET / HTTP/1.0\r\nHost: h.example\r\nX-Id: ${id}\r\n\r\n`);
        });
    }

    it("is reset at an HTTP/1.0 client if its upstream breaks it off", async () => {
        const respond = ({ id, socket }: ReceivedRequest) => {
            const body = encodeBody("chunked", events);
            const sent = id === "whole" ? body : body.slice(0, -20);
            socket.write(encodeHead(id, "chunked", 0) + sent, () => socket.end());
        };
        setup = await TestSetup.start({ kind: "streaming", maxAttempts: 1 }, [respond]);
        expect((await callHttp10("whole")).end).toEqual("FIN");
        expect((await callHttp10("cut")).end).toEqual("reset");
    });

    it("is sent in chunks if it is too large to be read first, so that a reset is visible", async () => {
        const respond = ({ id, socket }: ReceivedRequest) => void socket.write(encodeHead(id, "close", 0) + largeBody);
        setup = await TestSetup.start({ kind: "safe", maxAttempts: 1 }, [respond]);
        const req = setup.entry.open("q1").end();
        const [res] = await once(req, "response") as [IncomingMessage];
        res.on("error", () => undefined).resume();
        setup.upstreams[0].received[0].socket.resetAndDestroy();
        await new Promise(resolve => res.on("close", resolve));
        expect(res.complete).toEqual(false);
    });
});

// Guards against responses that a crash cut where neither their framing nor their events show it.
describe("a response that ends with its connection", () => {
    const events = threeEvents(lineEnds.LF);
    /** Time for which upstreams go on serving after they have announced that they drain, in milliseconds. */
    const minDrainMs = 600;
    /** Longer than an open connection without input proves that its peer runs. */
    const silentForMs = 250;
    let setup: TestSetup;

    afterEach(() => setup.stop());

    /** Sends part of an unframed response, and ends the whole upstream with its connection. */
    const respondAndCrash = (text: string) => ({ id, socket }: ReceivedRequest) => {
        const upstream = setup.upstreams.find(({ received }) => received.at(-1)?.socket === socket)!;
        socket.write(encodeHead(id, "close", 0) + text, () => upstream.stop());
    };
    const respondWhole = (text: string) => ({ id, socket }: ReceivedRequest) => {
        socket.write(encodeHead(id, "length", text.length) + text);
    };
    const respondUnframed = (text: string) => ({ id, socket }: ReceivedRequest) => {
        socket.end(encodeHead(id, "close", 0) + text);
    };

    it("is broken off if its upstream ended between two events", async () => {
        setup = await TestSetup.start({ kind: "streaming", maxAttempts: 1 }, [respondAndCrash(events[0])]);
        const { status, body, whole } = await setup.entry.call("q1");
        expect({ status, body, whole }).toEqual({ status: 200, body: events[0], whole: false });
    });

    it("goes on elsewhere if its upstream ended between two events of a resumable stream", async () => {
        let count = 0;
        const respond = (received: ReceivedRequest) =>
            count++ === 0 ? respondAndCrash(events[0])(received) : respondWhole(events.slice(1).join(""))(received);
        setup = await TestSetup.start({ kind: "streaming", resumable: true }, [respond, respond]);
        const { body, whole } = await setup.entry.call("q1");
        expect({ body, whole }).toEqual({ body: events.join(""), whole: true });
        expect(setup.entry.crashReports.length).toEqual(1);
    });

    it("is retried if its upstream ended and it may be repeated, and is rejected otherwise", async () => {
        let count = 0;
        const respond = (received: ReceivedRequest) =>
            count++ === 0 ? respondAndCrash("ha")(received) : respondWhole("half")(received);
        setup = await TestSetup.start({ kind: "safe" }, [respond, respond]);
        expect((await setup.entry.call("q1")).body).toEqual("half");
        await setup.stop();
        setup = await TestSetup.start({ kind: "unsafe" }, [respondAndCrash("ha")]);
        expect((await setup.entry.call("q1", { method: "POST" })).status).toEqual(502);
    });

    it("is complete if its upstream was draining, since that finishes its responses before it ends", async () => {
        const respond = ({ id, socket }: ReceivedRequest) => {
            const head = encodeHead(id, "close", 0).replace("X-Id", "X-Leaving: 1\r\nX-Id");
            socket.write(head + events.join(""), () => setup.upstreams[0].stop());
        };
        setup = await TestSetup.start({ kind: "streaming", maxAttempts: 1 }, [respond]);
        const { body, whole } = await setup.entry.call("q1");
        expect({ body, whole }).toEqual({ body: events.join(""), whole: true });
    });

    // Guards against responses of an upstream that crashes while it drains, and that reach callers as complete.
    for (const kind of ["streaming", "unsafe"] as const) {
        it(`is broken off if its upstream ended sooner than one that drains does (${kind} request)`, async () => {
            const respond = ({ id, socket }: ReceivedRequest) => {
                const head = encodeHead(id, "close", 0).replace("X-Id", "X-Leaving: 1\r\nX-Id");
                socket.write(head + events[0], () => setup.upstreams[0].stop());
            };
            setup = await TestSetup.start({ kind, maxAttempts: 1 }, [respond], undefined, undefined, minDrainMs);
            const { status, whole } = await setup.entry.call("q1", { method: "POST" });
            expect(status === 200 && whole).toEqual(false);
        });
    }

    it("is complete if its upstream ended after it had drained for as long as it has to", async () => {
        const respond = ({ id, socket }: ReceivedRequest) => {
            const head = encodeHead(id, "close", 0).replace("X-Id", "X-Leaving: 1\r\nX-Id");
            socket.write(head + events[0]);
            setTimeout(() => socket.write(events.slice(1).join(""), () => setup.upstreams[0].stop()), minDrainMs);
        };
        setup = await TestSetup.start(
            { kind: "streaming", maxAttempts: 1 },
            [respond],
            undefined,
            undefined,
            minDrainMs,
        );
        const { body, whole } = await setup.entry.call("q1");
        expect({ body, whole }).toEqual({ body: events.join(""), whole: true });
    });

    // Guards against an open connection that went silent and is taken for a sign that the upstream's process runs.
    it("is broken off if its upstream ended, though another connection stays open that went silent", async () => {
        const respond = (received: ReceivedRequest) => {
            const { id, socket } = received;
            socket.write(encodeHead(id, "close", 0) + events[0]);
            if (id === "cut") {
                const silent = setup.upstreams[0].received.find(each => each.id === "silent")!.socket;
                setTimeout(() => setup.upstreams[0].stopSilently(silent), silentForMs);
            }
        };
        setup = await TestSetup.start({ kind: "streaming", maxAttempts: 1 }, [respond]);
        const silent = setup.entry.open("silent");
        silent.on("error", () => undefined).end();
        while (setup.upstreams[0].received.length === 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
        const { status, body, whole } = await setup.entry.call("cut");
        expect({ status, body, whole }).toEqual({ status: 200, body: events[0], whole: false });
        silent.destroy();
    });

    // Guards against streams of an upstream that is taken away at short notice and that reach callers as complete.
    it("is broken off if its upstream was draining at short notice and ended between two events", async () => {
        setup = await TestSetup.start({ kind: "streaming", maxAttempts: 1 }, [({ id, socket }) => {
            socket.write(encodeHead(id, "close", 0) + events[0]);
        }]);
        const [upstream] = setup.upstreams;
        const response = setup.entry.call("q1");
        while (upstream.received.length === 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
        setup.entry.setUpstreams({
            id: "u0",
            address: upstream.address,
            state: UpstreamState.DRAINING,
            shortNotice: true,
        });
        upstream.stop();
        const { status, body, whole } = await response;
        expect({ status, body, whole }).toEqual({ status: 200, body: events[0], whole: false });
    });

    it("is complete if its upstream was draining at short notice and lives on", async () => {
        setup = await TestSetup.start({ kind: "streaming", maxAttempts: 1 }, [({ id, socket }) => {
            setup.entry.setUpstreams({
                id: "u0",
                address: setup.upstreams[0].address,
                state: UpstreamState.DRAINING,
                shortNotice: true,
            });
            socket.end(encodeHead(id, "close", 0) + events.join(""));
        }]);
        const { body, whole } = await setup.entry.call("q1");
        expect({ body, whole }).toEqual({ body: events.join(""), whole: true });
    });

    it("is complete if its upstream lives on, which an open connection proves without a probe", async () => {
        const respond = (received: ReceivedRequest) =>
            (received.id === "long" ? () => undefined : respondUnframed(events.join("")))(received);
        setup = await TestSetup.start({ kind: "streaming", maxAttempts: 1 }, [respond]);
        expect((await setup.entry.call("q1")).whole).toEqual(true);
        // The request's connection, and a probe.
        expect(setup.upstreams[0].connectionCount).toEqual(2);
        const long = setup.entry.open("long");
        long.on("error", () => undefined).end();
        while (setup.upstreams[0].received.length < 2) {
            await new Promise(resolve => setImmediate(resolve));
        }
        expect((await setup.entry.call("q2")).whole).toEqual(true);
        expect(setup.upstreams[0].connectionCount).toEqual(4);
        long.destroy();
    });
});

function endsOfEvents(events: readonly string[]): number[] {
    return events.map((_, index) => events.slice(0, index + 1).join("").length);
}
