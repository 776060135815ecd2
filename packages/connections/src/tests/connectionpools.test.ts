/** Guards against a crowd at one listener that keeps others out, and against connections that are closed while others matter less. */
import { Metrics, silentLog } from "@winchpath/core";
import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import {
    type CloseReason,
    connectionLimitsFor,
    ConnectionPool,
    type Expendability,
    ListenerWeight,
    type PooledConnection,
    type PooledListener,
} from "../index.js";

describe("ConnectionPool", () => {
    let pool: ConnectionPool;
    let closed: string[];

    /** A connection that leaves the pool when it is closed. */
    class FakeConnection implements PooledConnection {
        public hasServed = false;
        public heldBytes = 0;
        public progressAt = 0;
        public expendability: Expendability = "idle";
        public mayExceed = false;
        public readonly remoteAddress = "";

        public constructor(private readonly listener: PooledListener, private readonly name: string) {
            pool.add(listener, this);
        }

        public hold(bytes: number, expendability: Expendability, progressAt = 0): this {
            this.expendability = expendability;
            this.progressAt = progressAt;
            this.heldBytes += bytes;
            if (expendability !== "idle") {
                this.listener.idle.delete(this);
            }
            pool.addRequestBytes(bytes);
            return this;
        }

        public checkTimes(): CloseReason | undefined {
            return undefined;
        }

        public close(reason: CloseReason): void {
            closed.push(`${this.name}: ${reason}`);
            pool.delete(this.listener, this);
            pool.addRequestBytes(-this.heldBytes);
            this.heldBytes = 0;
        }
    }

    beforeEach(() => {
        closed = [];
        pool = new ConnectionPool({ connections: 4, heldBytes: 100 }, silentLog, new Metrics());
    });

    describe("when a connection comes and there are as many as allowed", () => {
        it("closes one of the listener that exceeds its part by most", () => {
            const clients = pool.register("clients", ListenerWeight.clients);
            const readiness = pool.register("readiness", ListenerWeight.small);
            ["a", "b", "c", "d"].forEach(name => new FakeConnection(clients, name));
            expect(pool.makeRoom(readiness)).toEqual(true);
            expect(closed).toEqual(["a: connections"]);
        });

        it("closes one of the same listener if that has more than its part", () => {
            const clients = pool.register("clients", ListenerWeight.clients);
            const readiness = pool.register("readiness", ListenerWeight.small);
            ["a", "b"].forEach(name => new FakeConnection(clients, name));
            ["x", "y"].forEach(name => new FakeConnection(readiness, name));
            expect(pool.makeRoom(readiness)).toEqual(true);
            expect(closed).toEqual(["x: connections"]);
        });

        it("closes one without an answered request before others, and none that is needed", () => {
            const clients = pool.register("clients", ListenerWeight.clients);
            const used = new FakeConnection(clients, "used");
            used.hasServed = true;
            new FakeConnection(clients, "silent");
            ["x", "y"].forEach(name => new FakeConnection(clients, name).hold(1, "needed"));
            expect(pool.makeRoom(clients)).toEqual(true);
            expect(closed).toEqual(["silent: connections"]);
            new FakeConnection(clients, "z").hold(1, "needed");
            expect(pool.makeRoom(clients)).toEqual(true);
            new FakeConnection(clients, "w").hold(1, "needed");
            expect(pool.makeRoom(clients)).toEqual(false);
            expect(closed).toEqual(["silent: connections", "used: connections"]);
        });
    });

    describe("while requests need all descriptors for themselves and their upstreams", () => {
        it("accepts no client, but a few connections at listeners that need no upstream", () => {
            pool = new ConnectionPool(
                { connections: 40, descriptors: 10, heldBytes: undefined },
                silentLog,
                new Metrics(),
            );
            const clients = pool.register("clients", ListenerWeight.clients, true);
            const readiness = pool.register("readiness", ListenerWeight.small);
            ["a", "b", "c", "d", "e"].forEach(name => new FakeConnection(clients, name).hold(1, "needed"));
            expect(pool.makeRoom(clients)).toEqual(false);
            for (let count = 0; count < 4; count++) {
                expect(pool.makeRoom(readiness)).toEqual(true);
                new FakeConnection(readiness, "check").hold(1, "needed");
            }
            expect(pool.makeRoom(readiness)).toEqual(false);
            expect(closed).toEqual([]);
        });
    });

    describe("when more bytes are held than allowed", () => {
        it("closes what matters least first, in the order of the last progress, and leaves what is needed", () => {
            const clients = pool.register("clients", ListenerWeight.clients);
            new FakeConnection(clients, "needed").hold(40, "needed");
            new FakeConnection(clients, "unread").hold(10, "unread");
            new FakeConnection(clients, "late").hold(20, "incomplete", 2);
            new FakeConnection(clients, "later").hold(20, "incomplete", 3);
            new FakeConnection(clients, "newest").hold(20, "incomplete", 4);
            expect(closed).toEqual(["late: memory"]);
            expect(pool.heldBytes).toEqual(90);
            new FakeConnection(clients, "needed too").hold(50, "needed");
            expect(closed.slice(1)).toEqual(["later: memory", "newest: memory", "unread: memory"]);
            expect(pool.heldBytes).toEqual(90);
        });

        it("closes more at the next check if too few were found a moment before", () => {
            const clients = pool.register("clients", ListenerWeight.clients);
            const needed = new FakeConnection(clients, "needed").hold(110, "needed");
            expect(closed).toEqual([]);
            new FakeConnection(clients, "late").hold(20, "incomplete", 1);
            needed.expendability = "unread";
            pool.check();
            expect(closed).toEqual(["late: memory", "needed: memory"]);
        });

        it("closes one that holds much before one that holds little and is older", () => {
            const clients = pool.register("clients", ListenerWeight.clients);
            new FakeConnection(clients, "small").hold(10, "incomplete", 1);
            new FakeConnection(clients, "large").hold(50, "incomplete", 2);
            new FakeConnection(clients, "newest").hold(45, "incomplete", 3);
            expect(closed).toEqual(["large: memory"]);
        });

        for (
            const [bytes, expected] of [
                [95, ["other: memory"]],
                [190, ["other: memory", "small: memory"]],
                [210, ["other: memory", "small: memory", "large: memory"]],
            ] as const
        ) {
            it(`doesn't count the largest that may hold more, up to the bound again: ${bytes} of 100`, () => {
                const peers = pool.register("peers", ListenerWeight.peers);
                new FakeConnection(peers, "small").hold(30, "incomplete", 1);
                new FakeConnection(peers, "other").hold(65, "incomplete", 2);
                const large = new FakeConnection(peers, "large");
                large.mayExceed = true;
                large.hold(bytes, "incomplete", 3);
                expect(closed).toEqual([...expected]);
            });
        }

        it("spares the connection whose request may be complete", () => {
            const clients = pool.register("clients", ListenerWeight.clients);
            new FakeConnection(clients, "a").hold(60, "incomplete", 1);
            const spared = new FakeConnection(clients, "b");
            spared.expendability = "incomplete";
            spared.heldBytes = 60;
            pool.addRequestBytes(60, spared);
            expect(closed).toEqual(["a: memory"]);
        });
    });
});

describe("connectionLimitsFor", () => {
    it("leaves a part of the descriptors to upstreams and files", () => {
        expect(connectionLimitsFor(4100)).toEqual({ connections: 3075, descriptors: 3587 });
        expect(connectionLimitsFor(undefined)).toEqual({ connections: undefined });
    });
});
