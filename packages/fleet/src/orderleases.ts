/**
 * Who may give orders to engines after a change of leader. Engines refuse lower
 * tokens, so late orders of an earlier holder do no harm; the lease keeps two
 * holders that are both alive from giving orders by turns.
 */
import { type EventLog, messageOf, Notifier, sleep, steadyNow } from "@winchpath/core";
import { type RpcClients } from "@winchpath/rpc";
import { FleetService, type YieldResponse } from "./gen/winchpath/fleet/v1/fleet_pb.js";

/** An earlier holder that has not answered by then is cut off or being stopped, and gives no orders without a majority. */
const yieldTimeoutMs = 300;
/** Beyond the lease, for the last order of the earlier holder that is still on its way, in milliseconds. */
const marginMs = 200;

/** What this process has given, and what it may give. */
export class OrderLease {
    /** Notified when another leader has asked. */
    public readonly yielded = new Notifier();
    private gaveAt: number | undefined;
    /** What this host's earlier process gave isn't known; it gave nothing later. */
    private readonly begunAt = steadyNow();
    private highestToken = 0;
    private openToken: number | undefined;

    public constructor(private readonly leaseMs: () => number, private readonly log: EventLog) {}

    /** Whether orders may be given under a token now. */
    public isOpen(token: number): boolean {
        return this.openToken === token && token >= this.highestToken;
    }

    /** An order is sent. */
    public gave(): void {
        this.gaveAt = steadyNow();
    }

    /** Another leader asks: nothing more is given under lower tokens. */
    public yieldTo(token: number): { readonly gave: boolean; readonly ageMs: number; } {
        this.highestToken = Math.max(this.highestToken, token);
        this.yielded.notify();
        return this.gaveAt === undefined
            ? { gave: false, ageMs: 0 }
            : { gave: true, ageMs: steadyNow() - this.gaveAt };
    }

    /** Asks all other control hosts to give nothing more, and opens once the lease of each that gave orders is over. */
    public async acquire(
        token: number,
        urls: readonly string[],
        clients: RpcClients,
        signal: AbortSignal,
    ): Promise<void> {
        const startedAt = steadyNow();
        const answers = await Promise.all(urls.map(url => this.ask(token, url, clients)));
        const waitMs = Math.max(0, ...answers.map(answer => this.remainingMs(answer)));
        this.log.info("orders.lease", {
            token,
            waitMs: Math.round(waitMs),
            answered: answers.filter(answer => answer !== undefined).length,
            asked: urls.length,
            tookMs: steadyNow() - startedAt,
        });
        await sleep(waitMs, signal);
        if (!signal.aborted) {
            this.openToken = token;
        }
    }

    /**
     * What is left of a lease. Another host that doesn't answer gives no more orders, but may have given some in between: then
     * this one waits out its own lease, so that orders never go from it to another and back within one.
     */
    private remainingMs(answer: YieldResponse | undefined): number {
        const wholeMs = this.leaseMs() + marginMs;
        if (answer === undefined) {
            return wholeMs - (steadyNow() - (this.gaveAt ?? this.begunAt));
        }
        return answer.gave ? wholeMs - answer.lastOrderAgeMs : 0;
    }

    private async ask(token: number, url: string, clients: RpcClients): Promise<YieldResponse | undefined> {
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
