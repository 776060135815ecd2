import { expect } from "earl";
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { type AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { eventLoop, Metrics, silentLog, sleep, startFairTimer } from "../index.js";

/** Keeps the event loop from running, as a process that is not scheduled. */
function block(ms: number): void {
    for (const until = performance.now() + ms; performance.now() < until;) {}
}

describe("EventLoop", () => {
    let server: Server;
    let accepted: Socket;
    let client: Socket;

    beforeEach(async () => {
        server = createServer().listen(0, "127.0.0.1");
        await once(server, "listening");
        client = connect((server.address() as AddressInfo).port, "127.0.0.1");
        [accepted] = await once(server, "connection") as [Socket];
        accepted.on("error", () => undefined);
    });

    afterEach(() => {
        eventLoop.stop();
        client.destroy();
        accepted.destroy();
        server.close();
    });

    describe("startFairTimer", () => {
        it("does not expire if the answer arrived while the process did not run", async () => {
            let expired = false;
            const timer = startFairTimer(() => expired = true, 30);
            accepted.once("data", () => timer.cancel());
            client.write("answer");
            block(100);
            await sleep(20);
            expect(expired).toEqual(false);
        });

        it("expires if nothing arrived, however late it is", async () => {
            let expired = false;
            startFairTimer(() => expired = true, 30);
            block(100);
            await sleep(20);
            expect(expired).toEqual(true);
        });

        it("expires on time in a process that is on time", async () => {
            let expired = false;
            startFairTimer(() => expired = true, 30);
            await sleep(45);
            expect(expired).toEqual(true);
        });
    });

    describe("readUntil", () => {
        it("stays at the time before a delay until the input that arrived in it has been read", async () => {
            const metrics = new Metrics();
            eventLoop.start(silentLog, metrics);
            await sleep(250);
            let ageAtInput: number | undefined;
            accepted.once("data", () => ageAtInput = performance.now() - eventLoop.readUntil);
            client.write("news");
            block(400);
            expect(performance.now() - eventLoop.readUntil).toBeGreaterThan(300);
            expect(eventLoop.isBehind).toEqual(true);
            await eventLoop.inputRead();
            expect(ageAtInput!).toBeGreaterThan(300);
            await sleep(30);
            expect(eventLoop.isBehind).toEqual(false);
            expect(metrics.toText()).toInclude("winchpath_event_loop_behind_total 1");
        });

        it("is the present in a process that is on time", async () => {
            eventLoop.start(silentLog, new Metrics());
            await sleep(250);
            expect(performance.now() - eventLoop.readUntil).toBeLessThan(5);
        });
    });

    describe("isBehind", () => {
        // Guards against requests that are postponed because time passes between two readings of the clock.
        it("is false in a process that is on time, however often the clock advances", t => {
            let now = 1_000_000;
            t.mock.method(Date, "now", () => now++);
            expect(eventLoop.isBehind).toEqual(false);
            eventLoop.start(silentLog, new Metrics());
            expect(eventLoop.isBehind).toEqual(false);
        });
    });

    describe("departuresRead", () => {
        it("resolves after the end of a connection that had arrived", async () => {
            let ended = false;
            accepted.once("end", () => ended = true);
            accepted.resume();
            client.end();
            block(50);
            await eventLoop.departuresRead();
            expect(ended).toEqual(true);
        });

        it("lets input be read between the tasks of a long turn", async () => {
            const done: number[] = [];
            const task = async (index: number) => {
                await eventLoop.departuresRead();
                block(40);
                done.push(index);
            };
            let doneAtEnd: number | undefined;
            accepted.once("end", () => doneAtEnd = done.length);
            accepted.resume();
            const tasks = Promise.all(Array.from({ length: 12 }, (_, index) => task(index)));
            await eventLoop.inputRead();
            client.end();
            await tasks;
            expect(done).toEqual(Array.from({ length: 12 }, (_, index) => index));
            expect(doneAtEnd!).toBeLessThan(12);
        });
    });
});
