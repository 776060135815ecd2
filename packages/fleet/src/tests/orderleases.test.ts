/**
 * Guards against two live leaders that send orders to one engine alternately within a lease: an unreachable previous
 * leader, or an earlier process of the same host, may have sent orders that the new leader does not know of.
 */
import { type EventLog, silentLog, sleep } from "@winchpath/core";
import { RpcClients, RpcServer } from "@winchpath/rpc";
import { Timeline } from "@winchpath/timeline";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { FleetService, OrderLease } from "../index.js";

const loopback = { host: "127.0.0.1", port: 0 };
const timeline = new Timeline({ process: "test", host: "test", dataCentre: "d" });
/** Longer than a refused call takes, in milliseconds. */
const refusedCallMs = 500;
/** Longer than a lease of 50 ms including its margin, in milliseconds. */
const leaseExpiryMs = 300;
const closers: (() => unknown)[] = [];

/** Starts a server that answers other leaders with its own lease. */
async function startPeer(lease: OrderLease): Promise<string> {
    const server = await RpcServer.listen(loopback, router => {
        router.service(FleetService, {
            yieldOrders: req => {
                const { gave, ageMs } = lease.yieldTo(Number(req.token));
                return { gave, lastOrderAgeMs: ageMs };
            },
        });
    }, { key: undefined, timeline });
    closers.push(() => server.close(0));
    return `http://127.0.0.1:${server.port}`;
}

function clients(): RpcClients {
    const made = new RpcClients({ key: undefined, timeline });
    closers.push(() => made.close());
    return made;
}

function lease(leaseMs: number): OrderLease {
    return new OrderLease(() => leaseMs, silentLog);
}

describe("OrderLease", () => {
    const { signal } = new AbortController();

    afterEach(async () => {
        await Promise.all(closers.splice(0).map(close => close()));
    });

    it("is granted at once if no other host has sent orders", async () => {
        const own = lease(60_000);
        await own.acquire(2, [await startPeer(lease(60_000))], clients(), signal);
        expect(own.isGranted(2)).toEqual(true);
    });

    describe("when another host can't be reached", () => {
        const unreachableUrl = "http://127.0.0.1:1";

        /** Whether the lease is granted soon after the call to the previous holder failed. */
        async function isGrantedSoon(own: OrderLease): Promise<boolean> {
            const abort = new AbortController();
            const acquisition = own.acquire(2, [unreachableUrl], clients(), abort.signal);
            await Promise.race([acquisition, sleep(refusedCallMs)]);
            const isOpen = own.isGranted(2);
            abort.abort();
            await acquisition;
            return isOpen;
        }

        it("is granted at once if its own lease has expired, since the other host can't reach a majority either", async () => {
            const waits: unknown[] = [];
            const log: EventLog = { ...silentLog, info: (_event, values) => waits.push(values?.waitMs) };
            const own = new OrderLease(() => 50, log);
            own.recordOrder();
            await sleep(leaseExpiryMs);
            await own.acquire(2, [unreachableUrl], clients(), signal);
            expect([own.isGranted(2), waits]).toEqual([true, [0]]);
        });

        it("waits until its own lease expires, since the other host may have sent orders meanwhile", async () => {
            const own = lease(60_000);
            own.recordOrder();
            expect(await isGrantedSoon(own)).toEqual(false);
        });

        it("waits for one lease after process start, since the host's earlier process may have sent orders", async () => {
            expect(await isGrantedSoon(lease(60_000))).toEqual(false);
        });
    });

    it("waits until the lease of a live holder that has sent orders expires", async () => {
        const previous = lease(60_000);
        previous.recordOrder();
        const own = lease(60_000);
        const abort = new AbortController();
        const acquisition = own.acquire(2, [await startPeer(previous)], clients(), abort.signal);
        const first = await Promise.race([
            acquisition.then(() => "open"),
            previous.yieldRequested.wait(10_000).then(() => "asked"),
        ]);
        expect([first, own.isGranted(2)]).toEqual(["asked", false]);
        abort.abort();
        await acquisition;
        expect(own.isGranted(2)).toEqual(false);
    });

    it("stops the previous holder from sending orders", async () => {
        const previous = lease(0);
        await previous.acquire(1, [], clients(), signal);
        expect(previous.isGranted(1)).toEqual(true);
        await lease(0).acquire(2, [await startPeer(previous)], clients(), signal);
        expect(previous.isGranted(1)).toEqual(false);
    });
});
