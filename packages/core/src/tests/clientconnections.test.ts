/** Guards against requests that are handled on a connection that can't carry their response. */
import { expect } from "earl";
import fc from "fast-check";
import { EventEmitter } from "node:events";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { ClientConnection, type ClientSocket, closeWaitMs, reuseWaitMs, type SentResponse } from "../index.js";

/** A socket without a network. */
class FakeSocket extends EventEmitter {
    public writable = true;
    public destroyed = false;
    public bytesRead = 0;
    public readonly connection: ClientConnection;

    public constructor() {
        super();
        this.connection = new ClientConnection(this as unknown as ClientSocket);
    }

    public end(): void {
        this.writable = false;
    }

    public destroy(): void {
        this.writable = false;
        if (!this.destroyed) {
            this.destroyed = true;
            this.emit("close");
        }
    }

    /** Replaced by the connection. */
    public destroySoon(): void {
        this.destroy();
    }
}

/** One request, with its response. */
class Exchange extends EventEmitter {
    public admitted: boolean | undefined;
    public sent = false;

    public constructor(private readonly socket: FakeSocket, public readonly closes: boolean) {
        super();
        void socket.connection.awaitTurn(this as unknown as SentResponse).then(admitted => this.admitted = admitted);
    }

    /** The last byte of the response was handed to the system; the HTTP server ends the connection if it was announced. */
    public finish(): void {
        this.sent = true;
        if (this.closes) {
            this.socket.destroySoon();
        }
        this.emit("finish");
    }
}

/** Lets the tasks of the current turn run. */
async function settle(): Promise<void> {
    for (let turn = 0; turn < 10; turn++) {
        await Promise.resolve();
    }
}

describe("ClientConnection", () => {
    beforeEach(() => mock.timers.enable({ apis: ["setTimeout", "Date"] }));
    afterEach(() => mock.timers.reset());

    const step = fc.oneof(
        { weight: 4, arbitrary: fc.record({ kind: fc.constant("request"), closes: fc.boolean() }) },
        { weight: 4, arbitrary: fc.constant({ kind: "finish" }) },
        { weight: 1, arbitrary: fc.constant({ kind: "break-off" }) },
        { weight: 1, arbitrary: fc.constant({ kind: "client-closes" }) },
        { weight: 2, arbitrary: fc.record({ kind: fc.constant("wait"), ms: fc.integer({ min: 1, max: 2000 }) }) },
        { weight: 3, arbitrary: fc.constant({ kind: "shutdown-check" }) },
    );

    // Guards against a request that is passed on and can't be answered, whatever happens to its connection.
    it("admits each request only when its response is next and can be sent, and closes no pending one", async () => {
        await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 40 }), async steps => {
            const socket = new FakeSocket();
            const exchanges: Exchange[] = [];
            const running = () => exchanges.filter(({ admitted, sent }) => admitted === true && !sent);
            for (const next of steps) {
                const openBefore = socket.writable;
                const runningBefore = running().length;
                if (next.kind === "request" && !socket.destroyed) {
                    socket.bytesRead += 1;
                    exchanges.push(new Exchange(socket, "closes" in next && next.closes));
                }
                else if (next.kind === "finish") {
                    running()[0]?.finish();
                }
                else if (next.kind === "break-off" || next.kind === "client-closes") {
                    socket.destroy();
                    exchanges.length = 0;
                }
                else if (next.kind === "wait") {
                    mock.timers.tick("ms" in next ? next.ms : 0);
                }
                else if (next.kind === "shutdown-check") {
                    socket.connection.closeIfUnused();
                    if (runningBefore > 0) {
                        expect(socket.writable).toEqual(openBefore);
                    }
                }
                await settle();
                expect(running().length).toBeLessThanOrEqual(1);
                if (running().length > 0) {
                    expect(socket.writable).toEqual(true);
                }
                else if (socket.writable) {
                    // Nobody waits for a turn that has come.
                    expect(exchanges.filter(({ sent }) => !sent)).toEqual([]);
                }
            }
        }));
    });

    it("stays open for another request after its response, and is closed once it remains unused", async () => {
        const socket = new FakeSocket();
        const exchange = new Exchange(socket, false);
        mock.timers.tick(5000);
        socket.connection.closeIfUnused();
        expect(socket.destroyed).toEqual(false);
        exchange.finish();
        mock.timers.tick(reuseWaitMs - 1);
        socket.connection.closeIfUnused();
        expect(socket.destroyed).toEqual(false);
        mock.timers.tick(1);
        socket.connection.closeIfUnused();
        expect([socket.destroyed, socket.connection.isClosedHere]).toEqual([true, true]);
    });

    it("stays open while a request is arriving", () => {
        const socket = new FakeSocket();
        for (let part = 0; part < 10; part++) {
            mock.timers.tick(reuseWaitMs - 1);
            socket.bytesRead += 1;
            socket.connection.closeIfUnused();
        }
        expect(socket.destroyed).toEqual(false);
    });

    it("is ended after a response that announces its close, and closed if the client keeps it open", async () => {
        const socket = new FakeSocket();
        const exchange = new Exchange(socket, true);
        await settle();
        exchange.finish();
        const late = new Exchange(socket, false);
        await settle();
        expect([late.admitted, socket.writable, socket.destroyed]).toEqual([false, false, false]);
        mock.timers.tick(closeWaitMs);
        expect(socket.destroyed).toEqual(true);
    });

    it("closed by its client counts as closed there", () => {
        const socket = new FakeSocket();
        socket.destroy();
        expect([socket.connection.isClosedHere, socket.connection.pendingResponses]).toEqual([false, 0]);
    });
});
