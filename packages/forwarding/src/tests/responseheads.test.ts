/** Guards against an upstream that stops inside its response's head, so that its caller gets an empty response as complete. */
import { expect } from "earl";
import { Agent } from "node:http";
import { afterEach, describe, it } from "node:test";
import {
    type ConnectionEnd,
    type Delivery,
    encodeBody,
    type Framing,
    sendAndEnd,
    threeEvents,
} from "./brokenresponses.js";
import { type ClientResponse, type ReceivedRequest, TestSetup } from "./testservers.js";

/** Parallel requests of one test. */
const concurrency = 16;
const connectionEnds: readonly ConnectionEnd[] = ["FIN", "reset"];
const deliveries: readonly Delivery[] = ["at once", "byte by byte", "end later"];
const events = threeEvents("\n");
const largeHeaderBytes = 6000;

/** Headers that frame a response, and others that may be cut. */
const heads: Readonly<Record<string, string>> = {
    "a length": "Content-Length: 12\r\n",
    "no body": "Content-Length: 0\r\n",
    "chunks": "Transfer-Encoding: chunked\r\n",
    "its connection": "Connection: close\r\n",
    "its connection, in HTTP/1.0": "HTTP/1.0",
    "a folded header": "X-Folded: one\r\n two\r\nContent-Length: 12\r\n",
    "early hints before": "103",
    "a last early hint before": "103 close",
};

function encodeHead(id: string, kind: string): string {
    const values = heads[kind];
    const status = values === "HTTP/1.0" ? "HTTP/1.0 200 OK\r\n" : "HTTP/1.1 200 OK\r\n";
    const lines = values.startsWith("103") ? "Content-Length: 12\r\n" : values === "HTTP/1.0" ? "" : values;
    const hints = values.startsWith("103")
        ? `HTTP/1.1 103 Early Hints\r\n${values.endsWith("close") ? "Connection: close\r\n" : ""}Link: </a>\r\n\r\n`
        : "";
    return `${hints}${status}X-Id: ${id}\r\nX-Seal: s\r\n${lines}\r\n`;
}

interface CutHead {
    readonly id: string;
    readonly text: string;
    readonly end: ConnectionEnd;
    readonly delivery: Delivery;
}

/** Cuts a head after each number of bytes. */
function cutsOf(name: string, head: (id: string) => string, step = 1): CutHead[] {
    return connectionEnds.flatMap(end =>
        deliveries.flatMap(delivery =>
            Array.from({ length: Math.floor(head("").length / step) }, (_, index) => {
                const id = `${name}-${end}-${delivery}-${index}`.replace(/\W+/g, "-");
                const text = head(id);
                // Counted from the end, where the ids don't matter.
                return { id, text: text.slice(0, text.length - 1 - index * step), end, delivery };
            })
        )
    );
}

async function forEachCut(cuts: readonly CutHead[], check: (cut: CutHead) => Promise<void>): Promise<void> {
    const queue = [...cuts];
    await Promise.all(Array.from({ length: concurrency }, async () => {
        for (let cut = queue.pop(); cut !== undefined; cut = queue.pop()) {
            await check(cut);
        }
    }));
}

describe("an upstream that stops inside its response's head and closes", () => {
    let setup: TestSetup;
    const cutsById = new Map<string, CutHead>();

    afterEach(() => setup.stop());

    const respond = ({ id, socket }: ReceivedRequest) => {
        const { text, end, delivery } = cutsById.get(id)!;
        void sendAndEnd(socket, text, end, delivery);
    };

    async function call(cut: CutHead): Promise<ClientResponse> {
        cutsById.set(cut.id, cut);
        return setup.entry.call(cut.id);
    }

    function expectFailure({ id }: CutHead, { status, body, whole }: ClientResponse): void {
        expect({ id, status, body, whole, isServed: status < 500 && whole })
            .toEqual({ id, status, body, whole, isServed: false });
    }

    for (const kind of ["safe", "streaming"] as const) {
        for (const framing of Object.keys(heads)) {
            it(`never reaches a ${kind} request's caller as complete if the head names ${framing}`, async () => {
                setup = await TestSetup.start({ kind, maxAttempts: 1 }, [respond], undefined, 1e6);
                const cuts = cutsOf(`${kind}-${framing}`, id => encodeHead(id, framing));
                await forEachCut(cuts, async cut => expectFailure(cut, await call(cut)));
            });
        }
    }

    it("never reaches its caller as complete if the head is large", async () => {
        setup = await TestSetup.start({ kind: "safe", maxAttempts: 1 }, [respond], undefined, 1e6);
        const large = `X-Large: ${"v".repeat(largeHeaderBytes)}\r\n`;
        const head = (id: string) => encodeHead(id, "a length").replace("X-Seal", `${large}X-Seal`);
        await forEachCut(cutsOf("large", head, 499), async cut => expectFailure(cut, await call(cut)));
    });

    it("never reaches its caller as complete on a connection that has carried a response", async () => {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        const respondWell = (received: ReceivedRequest) => {
            if (cutsById.has(received.id)) {
                respond(received);
                return;
            }
            received.socket.write(`${encodeHead(received.id, "a length")}twelve bytes`);
        };
        setup = await TestSetup.start({ kind: "safe", maxAttempts: 1 }, [respondWell], 1, 1e6);
        for (const framing of ["a length", "its connection", "early hints before"]) {
            for (const cut of cutsOf(`kept-${framing}`, id => encodeHead(id, framing), 7)) {
                const first = await setup.entry.call(`well-${cut.id}`, { agent });
                expect([first.status, first.body, first.whole]).toEqual([200, "twelve bytes", true]);
                cutsById.set(cut.id, cut);
                expectFailure(cut, await setup.entry.call(cut.id, { agent }));
            }
        }
        agent.destroy();
    });

    it("never completes a stream that goes on there", async () => {
        const attempts = new Map<string, number>();
        const breakOffFirst = (received: ReceivedRequest) => {
            const attempt = attempts.get(received.id) ?? 0;
            attempts.set(received.id, attempt + 1);
            if (attempt > 0) {
                respond(received);
                return;
            }
            const body = encodeBody("chunked" satisfies Framing, events).slice(0, 30);
            received.socket.end(encodeHead(received.id, "chunks") + body);
        };
        const route = { kind: "streaming", resumable: true, maxAttempts: 2 } as const;
        setup = await TestSetup.start(route, [breakOffFirst, breakOffFirst], undefined, 1e6);
        for (const framing of ["a length", "chunks", "its connection"]) {
            const cuts = cutsOf(`resumed-${framing}`, id => encodeHead(id, framing), 3);
            await forEachCut(cuts, async cut => {
                const { body, whole } = await call(cut);
                expect({ id: cut.id, body, whole }).toEqual({ id: cut.id, body: events[0], whole: false });
            });
        }
    });
});
