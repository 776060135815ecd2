/** Guards against responses that their upstream broke off and that reach callers as complete. */
import { expect } from "earl";
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

function endsOfEvents(events: readonly string[]): number[] {
    return events.map((_, index) => events.slice(0, index + 1).join("").length);
}
