/**
 * The leader's side of fair shares. While requests lack capacity, it divides the work that a service's upstreams sustain
 * among the accounts, weighted and max-min fair: accounts that ask for less than their share get what they ask for, and
 * the others share the rest. Only accounts that ask for more are limited. Their entries send work within the limit at
 * once, and more of it only while upstreams have spare capacity.
 */
import { type EventLog, steadyNow } from "@winchpath/core";
import { type ClientAccount } from "@winchpath/declarations";
import { ShareAllocation } from "./shareallocations.js";
import { learningMs, type SharePosition, type WorkReport } from "./sharemessages.js";
import { weightsOf } from "./shareweights.js";

/** Fraction of a limit that is divided among entries by demand; the rest is divided evenly, for entries without any yet. */
const demandWeight = 0.9;
/** State of entries and services without reports for this long is discarded, in milliseconds. */
const retentionMs = 60_000;
/** Maximum number of entries and services; further ones are ignored, which bounds the memory that reports can occupy. */
const maxEntries = 2000;
const maxServices = 200;

interface EntryState {
    readonly process: number;
    readonly sequence: number;
    /** The process before this one, whose late reports are ignored. */
    readonly before: number | undefined;
    readonly receivedAt: number;
    /** Whether all totals of the process are known, so that an account that appears later started at 0. */
    readonly isComplete: boolean;
}

export class ShareCoordinator {
    private readonly services = new Map<string, ShareAllocation>();
    private readonly entries = new Map<string, EntryState>();
    private readonly startedAt = steadyNow();
    private weights: ReadonlyMap<string, number> = new Map();

    public constructor(private readonly log: EventLog) {}

    /** Applies the accounts of the current configuration; counts of other accounts are ignored. */
    public setAccounts(accounts: readonly ClientAccount[]): void {
        this.weights = weightsOf(accounts);
        for (const service of this.services.values()) {
            for (const account of [...service.accounts.keys()].filter(name => !this.weights.has(name))) {
                service.remove(account);
            }
        }
    }

    /** Processes the counts of an entry and returns the positions of these accounts; none while the leader learns. */
    public processWork(report: WorkReport): SharePosition[] {
        const { entry, entries } = report;
        const known = report.counts.filter(({ account }) => this.weights.has(account));
        if (!this.isOutdated(report)) {
            this.record(report, known);
        }
        new Set(known.map(({ service }) => service)).forEach(name => this.serviceOf(name)?.update(this.weights));
        return steadyNow() - this.startedAt < learningMs
            ? []
            : known.map(({ service, account }) => this.positionOf(service, account, entry, entries))
                .filter(position => position !== undefined);
    }

    private record({ entry, process, sequence, isComplete }: WorkReport, counts: WorkReport["counts"]): void {
        const receivedAt = steadyNow();
        this.removeExpired(receivedAt);
        const last = this.entries.get(entry);
        if (last === undefined && this.entries.size >= maxEntries) {
            return;
        }
        const isNewProcess = last !== undefined && last.process !== process;
        // Of an entry that is known from before its restart, everything is new.
        const isBaseline = !isNewProcess && last?.isComplete !== true;
        for (const count of counts) {
            const allocation = this.serviceOf(count.service);
            if (allocation !== undefined) {
                allocation.usedAt = receivedAt;
                allocation.ratesOf(count.account).record(entry, process, isBaseline, count);
                allocation.recordLack(count.account, count.level);
            }
        }
        const isKnown = isNewProcess || isComplete || last?.isComplete === true;
        const before = isNewProcess ? last.process : last?.before;
        this.entries.set(entry, { process, sequence, before, receivedAt, isComplete: isKnown });
    }

    /**
     * Whether a report is a duplicate, or older than one that has been used. Start times of processes are not compared,
     * since the clock of an entry may be set back before it restarts.
     */
    private isOutdated({ entry, process, sequence }: WorkReport): boolean {
        const last = this.entries.get(entry);
        return last !== undefined
            && (process === last.process ? sequence <= last.sequence : process === last.before);
    }

    private removeExpired(now: number): void {
        for (const [name, { usedAt }] of this.services) {
            if (now - usedAt > retentionMs) {
                this.services.delete(name);
            }
        }
        for (const [entry, { receivedAt }] of this.entries) {
            if (now - receivedAt > retentionMs) {
                this.entries.delete(entry);
                this.services.forEach(({ accounts }) => accounts.forEach(rates => rates.removeEntry(entry)));
            }
        }
    }

    private positionOf(service: string, account: string, entry: string, entries: number): SharePosition | undefined {
        const allocation = this.services.get(service);
        if (allocation === undefined) {
            return undefined;
        }
        const rates = allocation.ratesOf(account);
        const limit = allocation.limitOf(account);
        const entryShare = demandWeight * rates.entryShare(entry, entries) + (1 - demandWeight) / entries;
        return {
            service,
            account,
            virtualWork: rates.servedTotal / this.weights.get(account)!,
            overShare: limit !== undefined,
            workPerSecond: (limit ?? 0) * entryShare,
            heldFromLevel: allocation.heldFromLevel(account),
        };
    }

    /** Undefined if the service is a new one and there are too many. */
    private serviceOf(service: string): ShareAllocation | undefined {
        let allocation = this.services.get(service);
        if (allocation === undefined && this.services.size < maxServices) {
            allocation = new ShareAllocation(service, this.log);
            this.services.set(service, allocation);
        }
        return allocation;
    }
}
