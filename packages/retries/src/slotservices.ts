/** The exchange of slot reports and grants as an RPC of its own, for entries that send no other reports to the leader. */
import { Code, ConnectError, type ServiceImpl } from "@connectrpc/connect";
import { type EventLog, messageOf, Notifier, sleep, steadyNow } from "@winchpath/core";
import { type PeerClients } from "@winchpath/rpc";
import { RetrySlotService } from "./gen/winchpath/retries/v1/retries_pb.js";
import { type RetryBudgetTable } from "./retrybudgettables.js";
import { type SlotGrants, type SlotReports } from "./slotreports.js";

/** Interval between regular reports, in milliseconds. */
const reportMs = 500;
/** Minimum interval between reports, in milliseconds; bounds the leader's load while many retries are denied. */
const minIntervalMs = 25;
const reportTimeoutMs = 800;

/** Leases slots to entries, while it leads. */
export interface SlotLessor {
    /** Returns undefined if this host may not lease slots now. */
    processReports(reports: SlotReports): SlotGrants | undefined;
}

export function retrySlotService(lessor: SlotLessor): ServiceImpl<typeof RetrySlotService> {
    return {
        renewSlots: req => {
            const grants = lessor.processReports({
                entry: req.entry,
                process: Number(req.process),
                sequence: Number(req.sequence),
                term: Number(req.term),
                services: req.services,
            });
            if (grants === undefined) {
                throw new ConnectError("not the leader", Code.FailedPrecondition);
            }
            return { term: BigInt(grants.term), lifeMs: grants.lifeMs, services: [...grants.services] };
        },
    };
}

export interface SlotRenewalOptions {
    readonly entry: string;
    readonly clients: PeerClients;
    /** URL of the leader; empty if it is unknown. */
    readonly leaderUrl: () => string;
    readonly log: EventLog;
}

/** Reports the leases of an entry to the leader, and applies its grants. */
export class SlotRenewal {
    /** Distinguishes this process from earlier ones of the same entry. */
    private readonly process = Date.now();
    private readonly urgent = new Notifier();
    private sequence = 0;
    private reportedAt = Number.NEGATIVE_INFINITY;

    public constructor(private readonly options: SlotRenewalOptions) {}

    /** Requests an early report. */
    public reportSoon(): void {
        this.urgent.notify();
    }

    /** Reports until the signal is aborted. */
    public async run(budgets: RetryBudgetTable, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.urgent.wait(reportMs);
            await sleep(Math.max(0, this.reportedAt + minIntervalMs - steadyNow()), signal);
            const url = this.options.leaderUrl();
            if (url !== "" && !signal.aborted && budgets.hasReports) {
                await this.report(budgets, url);
            }
        }
    }

    private async report(budgets: RetryBudgetTable, url: string): Promise<void> {
        const { entry, clients, log } = this.options;
        const askedAt = steadyNow();
        this.reportedAt = askedAt;
        this.sequence += 1;
        const req = {
            entry,
            process: BigInt(this.process),
            sequence: BigInt(this.sequence),
            term: BigInt(budgets.term),
            services: budgets.createReports(),
        };
        try {
            const res = await clients.client(RetrySlotService, url).renewSlots(req, { timeoutMs: reportTimeoutMs });
            budgets.applyGrants({ term: Number(res.term), lifeMs: res.lifeMs, services: res.services }, askedAt);
        }
        catch (err) {
            log.warn("retries.unrenewed", { leader: url, error: messageOf(err) });
        }
    }
}
