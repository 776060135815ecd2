/**
 * Hands over the right to send orders to engines when the leader changes. Fencing tokens protect engines that check them
 * from late orders of an earlier leader; the lease also keeps two live leaders from sending orders alternately.
 */
import { type EventLog, messageOf, Notifier, sleep, steadyNow } from "@winchpath/core";
import { type RpcClients } from "@winchpath/rpc";
import { FleetService, type YieldResponse } from "./gen/winchpath/fleet/v1/fleet_pb.js";

/**
 * Timeout after which a host counts as disconnected or stopping, in milliseconds. Such a host sends no orders, since it
 * has no majority.
 */
const yieldTimeoutMs = 300;
/** Added to the lease, since the previous holder's last order may still be in flight, in milliseconds. */
const inFlightMarginMs = 200;

/** Records when this process last sent an order, and the token under which it may send more. */
export class OrderLease {
    /** Notified when another leader asks this host to stop sending orders. */
    public readonly yieldRequested = new Notifier();
    private lastOrderAt: number | undefined;
    /** Latest time at which an earlier process of this host can have sent an order. */
    private readonly startedAt = steadyNow();
    private highestToken = 0;
    private grantedToken: number | undefined;

    public constructor(private readonly leaseMs: () => number, private readonly log: EventLog) {}

    /** Whether orders may be sent under a token. */
    public isGranted(token: number): boolean {
        return this.grantedToken === token && token >= this.highestToken;
    }

    /** Records that an order is being sent. */
    public recordOrder(): void {
        this.lastOrderAt = steadyNow();
    }

    /** Stops orders under lower tokens on behalf of another leader; returns when this process last sent one. */
    public yieldTo(token: number): { readonly gave: boolean; readonly ageMs: number; } {
        this.highestToken = Math.max(this.highestToken, token);
        this.yieldRequested.notify();
        return this.lastOrderAt === undefined
            ? { gave: false, ageMs: 0 }
            : { gave: true, ageMs: steadyNow() - this.lastOrderAt };
    }

    /** Asks all other control hosts to stop sending orders, and waits until each one's lease has expired. */
    public async acquire(
        token: number,
        urls: readonly string[],
        clients: RpcClients,
        signal: AbortSignal,
    ): Promise<void> {
        const startedAt = steadyNow();
        const answers = await Promise.all(urls.map(url => this.requestYield(token, url, clients)));
        const waitMs = Math.max(0, ...answers.map(answer => this.remainingLeaseMs(answer)));
        this.log.info("orders.lease", {
            token,
            waitMs: Math.round(waitMs),
            answered: answers.filter(answer => answer !== undefined).length,
            asked: urls.length,
            tookMs: steadyNow() - startedAt,
        });
        await sleep(waitMs, signal);
        if (!signal.aborted) {
            this.grantedToken = token;
        }
    }

    /**
     * Remaining time of another host's lease. A host that does not answer can't reach a majority and sends no more orders,
     * but may have sent some since this host's last order. Waiting out this host's own lease then keeps orders from
     * alternating between hosts within one lease.
     */
    private remainingLeaseMs(answer: YieldResponse | undefined): number {
        const fullLeaseMs = this.leaseMs() + inFlightMarginMs;
        if (answer === undefined) {
            return fullLeaseMs - (steadyNow() - (this.lastOrderAt ?? this.startedAt));
        }
        return answer.gave ? fullLeaseMs - answer.lastOrderAgeMs : 0;
    }

    private async requestYield(token: number, url: string, clients: RpcClients): Promise<YieldResponse | undefined> {
        try {
            const req = { token: BigInt(token) };
            return await clients.client(FleetService, url).yieldOrders(req, { timeoutMs: yieldTimeoutMs });
        }
        catch (err) {
            this.log.warn("orders.unyielded", { peer: url, token, error: messageOf(err) });
            return undefined;
        }
    }
}
