import { silentLog } from "@winchpath/core";
import { RpcClients, RpcServer } from "@winchpath/rpc";
import { Timeline } from "@winchpath/timeline";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { FleetService, OrderLease } from "../index.js";

const loopback = { host: "127.0.0.1", port: 0 };
const timeline = new Timeline({ process: "test", host: "test", dataCentre: "d" });
const closers: (() => unknown)[] = [];

/** A process with a lease of its own that answers other leaders. */
async function peerWith(lease: OrderLease): Promise<string> {
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

    it("opens at once where nobody else has given orders", async () => {
        const own = lease(60_000);
        await own.acquire(2, [await peerWith(lease(60_000))], clients(), signal);
        expect(own.isOpen(2)).toEqual(true);
    });

    it("opens at once where the earlier holder can't be reached, since it can't reach a majority either", async () => {
        const own = lease(60_000);
        await own.acquire(2, ["http://127.0.0.1:1"], clients(), signal);
        expect(own.isOpen(2)).toEqual(true);
    });

    it("waits out the lease of a holder that is alive and gave orders", async () => {
        const before = lease(60_000);
        before.gave();
        const own = lease(60_000);
        const given = new AbortController();
        const opening = own.acquire(2, [await peerWith(before)], clients(), given.signal);
        const first = await Promise.race([opening.then(() => "open"), before.yielded.wait(10_000).then(() => "asked")]);
        expect([first, own.isOpen(2)]).toEqual(["asked", false]);
        given.abort();
        await opening;
        expect(own.isOpen(2)).toEqual(false);
    });

    it("makes the earlier holder give nothing more", async () => {
        const before = lease(0);
        await before.acquire(1, [], clients(), signal);
        expect(before.isOpen(1)).toEqual(true);
        await lease(0).acquire(2, [await peerWith(before)], clients(), signal);
        expect(before.isOpen(1)).toEqual(false);
    });
});
