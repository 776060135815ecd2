/**
 * Guards against requests that a stopping process passes on late in its grace period, and cuts off when it closes its
 * connections: they may have run, and their callers get no answer.
 */
import { sleep } from "@winchpath/core";
import { expect } from "earl";
import { connect, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { completeResponse, type ReceivedRequest, TestSetup } from "./testservers.js";

/** Time from the beginning of the close to its end, in milliseconds. */
const graceMs = 900;
/** Time that the upstream takes for a request, in milliseconds. */
const workMs = 250;
/** Responses before the stop, from which the time of the next one is known. */
const earlierResponses = 12;
/** Requests that the upstream runs at the same time. */
const slots = 6;
/** Time in which the head of a request is decided about, in milliseconds. */
const headMs = 50;

/** A connection of a client that writes raw requests. */
class RawClient {
    public text = "";
    public readonly ended: Promise<void>;
    private readonly socket: Socket;

    public constructor(port: number) {
        this.socket = connect({ host: "127.0.0.1", port });
        this.socket.on("data", bytes => this.text += bytes.toString("latin1"));
        this.socket.on("error", () => undefined);
        this.ended = new Promise(resolve => this.socket.on("close", () => resolve()));
    }

    /** Statuses of the responses so far. */
    public get statuses(): number[] {
        return [...this.text.matchAll(/HTTP\/1\.1 (\d+) (?!Continue)/g)].map(([, status]) => Number(status));
    }

    public write(text: string): void {
        this.socket.write(text);
    }

    public destroy(): void {
        this.socket.destroy();
    }
}

function head(id: string, headers = ""): string {
    return `POST /a HTTP/1.1\r\nHost: h.example\r\nX-Id: ${id}\r\n${headers}`;
}

describe("a process that closes its connections to clients", () => {
    let setup: TestSetup;
    let closed: Promise<void>;
    const clients: RawClient[] = [];

    afterEach(async () => {
        clients.splice(0).forEach(client => client.destroy());
        await closed;
        await setup.stop();
    });

    async function start(kind: "safe" | "unsafe" = "unsafe"): Promise<void> {
        const respond = async ({ id, socket }: ReceivedRequest) => {
            await sleep(workMs);
            socket.write(completeResponse(id, "done"));
        };
        setup = await TestSetup.start({ kind, maxAttempts: 1 }, [received => void respond(received)]);
        for (let index = 0; index < earlierResponses; index += slots) {
            await Promise.all(Array.from({ length: slots }, (_, other) => setup.entry.call(`earlier${index + other}`)));
        }
    }

    function connectClient(): RawClient {
        const client = new RawClient(setup.entry.listener.port);
        clients.push(client);
        return client;
    }

    async function close(activeRequests: number): Promise<void> {
        await setup.entry.waitForActiveRequests(activeRequests);
        await sleep(headMs);
        setup.entry.stopping = true;
        closed = setup.entry.listener.close(graceMs);
    }

    const ran = (id: string) => setup.upstreams[0].received.some(received => received.id === id);

    for (const expects of ["", "Expect: 100-continue\r\n"]) {
        for (const kind of ["safe", "unsafe"] as const) {
            const name = `${kind} request${expects === "" ? "" : " that expects to be told to go on"}`;

            it(`refuses a ${name} whose body ends too late for its response`, async () => {
                await start(kind);
                const client = connectClient();
                client.write(head("slow", `${expects}Content-Length: 4\r\n\r\nbo`));
                await close(1);
                await sleep(graceMs - workMs - 100);
                client.write("dy");
                await client.ended;
                expect(ran("slow")).toEqual(false);
                expect(client.statuses).toEqual([503]);
                expect(client.text.toLowerCase()).toInclude("retry-after");
            });

            it(`answers a ${name} whose body ends in time`, async () => {
                await start(kind);
                const client = connectClient();
                client.write(head("slow", `${expects}Content-Length: 4\r\n\r\nbo`));
                await close(1);
                await sleep(50);
                client.write("dy");
                await client.ended;
                expect(ran("slow")).toEqual(true);
                expect(client.statuses).toEqual([200]);
            });
        }
    }

    it("leaves no request that has run without an answer, whenever its body ends", async () => {
        await start();
        const delaysMs = Array.from({ length: 24 }, (_, index) => index * graceMs / 24);
        const sent = delaysMs.map((_, index) => {
            const client = connectClient();
            client.write(head(`r${index}`, "Content-Length: 4\r\n\r\nbo"));
            return client;
        });
        await close(delaysMs.length);
        await Promise.all(sent.map(async (client, index) => {
            await sleep(delaysMs[index]);
            client.write("dy");
            await client.ended;
        }));
        const unanswered = sent.flatMap((client, index) =>
            ran(`r${index}`) && client.statuses.join() !== "200" ? [`r${index}: ${client.statuses}`] : []
        );
        expect(unanswered).toEqual([]);
    });

    it("refuses a request of a route whose responses' times aren't known, unless its deadline passes before the close", async () => {
        const respond = ({ id, socket }: ReceivedRequest) => socket.write(completeResponse(id, "done"));
        setup = await TestSetup.start({ kind: "unsafe", maxAttempts: 1 }, [respond]);
        const long = connectClient();
        long.write(head("long", "Content-Length: 4\r\n\r\nbo"));
        const short = connectClient();
        short.write(head("short", "X-Deadline: 500\r\nContent-Length: 4\r\n\r\nbo"));
        await close(2);
        long.write("dy");
        short.write("dy");
        await Promise.all([long.ended, short.ended]);
        expect([ran("long"), long.statuses]).toEqual([false, [503]]);
        expect([ran("short"), short.statuses]).toEqual([true, [200]]);
    });

    // Guards against a request that was read behind another one, and dropped as the response to that one announces the close.
    it("answers all requests that were sent ahead on a connection before the close was announced", async () => {
        await start();
        const client = connectClient();
        const body = "Content-Length: 0\r\n\r\n";
        client.write(head("first", body) + head("second", body) + head("third", body));
        await close(3);
        await client.ended;
        expect(client.statuses.length).toEqual(3);
        expect(client.statuses[0]).toEqual(200);
        expect(client.text.match(/connection: close/gi)?.length).toEqual(1);
    });
});
