/** Counts at an entry what callers ask for, and tells the leader. */
import { clone, create } from "@bufbuild/protobuf";
import { type AccountCounts, type Allowance } from "@winchpath/accounts";
import { AvailabilityBook } from "@winchpath/availability";
import { type EventLog, messageOf, Notifier, sleep, steadyNow } from "@winchpath/core";
import { type PeerClients } from "@winchpath/rpc";
import { ordinaryPaceMs } from "./feedpaces.js";
import {
    type AccountAllowance,
    FleetService,
    type ItemDemand,
    ItemDemandSchema,
    type Mismatch,
} from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type ItemKey, itemName, modelName } from "./items.js";
import { ToldLeavers } from "./leavers.js";
import { PastDemands } from "./pastdemands.js";
import { encodeRate } from "./upstreamrates.js";

/** How often demand is told, in milliseconds; a model's load takes a second and more. */
const reportMs = 500;
/** A request that nobody can serve is told after this long, with others of its moment. */
const urgentMs = 5;
/**
 * Reports are at least this far apart, in milliseconds: a load takes longer, and while many
 * requests lack a holder each of an entry's reports would take the leader 0.4 ms.
 */
const reportPauseMs = 25;
const reportTimeoutMs = 800;
/** Wrong beliefs about engines that are told at once. */
const maxMismatches = 20;

/** Counts what client accounts ask for; what the leader allows goes back to it. */
export interface AccountMeter {
    counts(): AccountCounts[];
    take(counts: readonly AccountCounts[], allowances: readonly Allowance[]): void;
}

/** The leader that an entry follows. */
export interface FollowedLeader {
    /** Empty where it follows none. */
    readonly url: string;
    /** Identity of the leadership, empty until it has answered: the same host may lead once more, and knows nothing of before then. */
    readonly epoch: string;
}

interface KnownPace {
    readonly service: string;
    readonly model: string;
    /** Tokens of a prompt in a second. */
    readonly rate: number;
    /** Whether no leader was told. */
    isNew: boolean;
}

export class DemandMeter {
    private readonly items = new Map<string, ItemDemand>();
    private mismatches: Mismatch[] = [];
    private readonly unreachable = new Set<string>();
    private readonly outcomes = new Map<string, { readonly upstream: string; served: number; failed: number; }>();
    private readonly leavers: ToldLeavers;
    private readonly urgent = new Notifier();
    /** Steady time of the last report. */
    private reportedAt = Number.NEGATIVE_INFINITY;
    private readonly paces = new Map<string, KnownPace>();
    /** What was asked for in the past, for a leader that has not heard it. */
    private readonly past = new PastDemands();
    /** Leadership that was told last. */
    private toldTo = "";

    /** Tells this process from others of the same name, whose totals are others. */
    private readonly process = Date.now();
    private accounts: AccountMeter | undefined;
    private pressed: NodeJS.Timeout | undefined;

    /** `availability`: what upstreams have said of themselves; leaders are told which leave, and of rates. */
    public constructor(private readonly log: EventLog, private readonly availability = new AvailabilityBook()) {
        this.leavers = new ToldLeavers(availability);
    }

    /** Reports tell of accounts too. */
    public tellOf(accounts: AccountMeter): void {
        this.accounts = accounts;
    }

    /**
     * What accounts have used, or is wanted of limited upstreams, is to be told soon. `entries`: how many tell; many of them do so less often
     * each, since a report takes the leader as long as an answer of the feed.
     */
    public press(entries: number): void {
        const dueMs = Math.max(0, this.reportedAt + ordinaryPaceMs(entries) - steadyNow());
        this.pressed ??= setTimeout(() => this.urgent.notify(), dueMs);
    }

    /** `work`: what the request needs of an engine, in tokens of a prompt. */
    public arrived(key: ItemKey, work: number): void {
        const item = this.item(key);
        item.arrived += 1;
        item.work += BigInt(Math.round(work));
        this.past.remember(key, work);
    }

    public started(key: ItemKey): void {
        this.item(key).running += 1;
    }

    public ended(key: ItemKey): void {
        this.item(key).running -= 1;
    }

    /** A request waits since nobody holds what it asks for. */
    public waits(key: ItemKey): void {
        this.item(key).waiting += 1;
        this.urgent.notify();
    }

    public waitsNoMore(key: ItemKey): void {
        this.item(key).waiting -= 1;
    }

    /** A request was refused since nobody holds what it asks for; it may come again. */
    public refused(key: ItemKey): void {
        this.item(key).refused += 1;
        this.urgent.notify();
    }

    /** An upstream said that it does not hold what it was thought to hold. */
    public mismatch(mismatch: Mismatch): void {
        if (this.mismatches.length < maxMismatches) {
            this.mismatches.push(mismatch);
            this.urgent.notify();
        }
    }

    /** An upstream refused a connection, or did not take one in time. */
    public missed(upstream: string): void {
        this.unreachable.add(upstream);
        this.urgent.notify();
    }

    /** An upstream has told this process that it leaves: others are to hear of it soon. */
    public leaving(): void {
        this.urgent.notify();
    }

    /** A request ended at an upstream; failures are told at once. */
    public outcome(upstream: string, failed: boolean): void {
        let counts = this.outcomes.get(upstream);
        if (counts === undefined) {
            counts = { upstream, served: 0, failed: 0 };
            this.outcomes.set(upstream, counts);
        }
        if (failed) {
            counts.failed += 1;
            this.urgent.notify();
        }
        else {
            counts.served += 1;
        }
    }

    /** Engines of a service read this many tokens of a prompt in a second for a model. */
    public paceOf(service: string, model: string, tokensPerSecond: number): void {
        this.paces.set(modelName(service, model), { service, model, rate: tokensPerSecond, isNew: true });
    }

    /** Tells the leader until the signal is aborted. */
    public async run(
        entry: string,
        clients: PeerClients,
        leader: () => FollowedLeader,
        signal: AbortSignal,
    ): Promise<void> {
        while (!signal.aborted) {
            await this.urgent.wait(reportMs);
            await sleep(Math.max(urgentMs, this.reportedAt + reportPauseMs - steadyNow()), signal);
            const { url, epoch } = leader();
            if (url === "" || epoch === "" || signal.aborted || !this.hasNews(epoch)) {
                continue;
            }
            await this.report(entry, clients, url, epoch);
        }
    }

    private async report(entry: string, clients: PeerClients, url: string, epoch: string): Promise<void> {
        // Copies, since the counts start anew while these are on their way.
        const isFirst = epoch !== this.toldTo;
        const items = isFirst
            ? this.itemsWithPast()
            : [...this.items.values()].map(item => clone(ItemDemandSchema, item));
        const { mismatches } = this;
        const unreachable = [...this.unreachable];
        const outcomes = [...this.outcomes.values()];
        const leaving = this.leavers.toTell(epoch);
        const rates = this.availability.rates.reports(epoch);
        this.settle();
        const askedAt = steadyNow();
        this.reportedAt = askedAt;
        clearTimeout(this.pressed);
        this.pressed = undefined;
        const counts = this.accounts?.counts() ?? [];
        try {
            const paces = [...this.paces.values()]
                .filter(({ isNew }) => isNew || isFirst)
                .map(({ service, model, rate }) => ({ service, model, tokensPerSecond: rate }));
            this.paces.forEach(pace => pace.isNew = false);
            const req = {
                entry,
                intervalMs: reportMs,
                items,
                mismatches,
                paces,
                unreachable,
                outcomes,
                leaving,
                accounts: counts.map(encodeCounts),
                rates: rates.map(encodeRate),
                process: BigInt(this.process),
            };
            const res = await clients.client(FleetService, url).reportDemand(req, { timeoutMs: reportTimeoutMs });
            this.toldTo = epoch;
            this.leavers.told(leaving, epoch);
            this.accounts?.take(counts, res.allowances.map(decodeAllowance));
            this.availability.rates.answered(rates, res.permits, { epoch, askedAt });
        }
        catch (err) {
            // The next report tells what runs and waits; arrivals of one interval are not missed much.
            this.log.warn("demand.untold", { leader: url, error: messageOf(err) });
        }
    }

    /** What this report would tell, with what earlier ones told another leader. */
    private itemsWithPast(): ItemDemand[] {
        this.past.keys().forEach(key => this.item(key));
        return [...this.items].map(([name, item]) => {
            const copy = clone(ItemDemandSchema, item);
            const { requests, work } = this.past.faded(name);
            // What came in since the last report is told as it is.
            copy.earlier = Math.max(0, requests - item.arrived);
            copy.earlierWork = Math.max(0, work - Number(item.work));
            return copy;
        });
    }

    private hasNews(epoch: string): boolean {
        return this.availability.rates.hasNews(epoch) || this.items.size > 0 || this.mismatches.length > 0
            || this.unreachable.size > 0
            || this.outcomes.size > 0 || this.leavers.hasNews || (this.accounts?.counts().length ?? 0) > 0;
    }

    private settle(): void {
        this.past.forgetOld();
        this.mismatches = [];
        this.unreachable.clear();
        this.outcomes.clear();
        for (const [key, item] of this.items) {
            item.arrived = 0;
            item.refused = 0;
            item.work = 0n;
            if (item.running === 0 && item.waiting === 0) {
                this.items.delete(key);
            }
        }
    }

    private item(key: ItemKey): ItemDemand {
        const name = itemName(key);
        let item = this.items.get(name);
        if (item === undefined) {
            item = create(ItemDemandSchema, key);
            this.items.set(name, item);
        }
        return item;
    }
}

function encodeCounts({ account, used, asked, credit, waiting, held }: AccountCounts) {
    return {
        held,
        account,
        used: whole(used),
        asked: whole(asked),
        credit: whole(credit),
        waiting: whole(waiting),
    };
}

function whole(units: number): bigint {
    return BigInt(Math.round(units));
}

function decodeAllowance(allowance: AccountAllowance): Allowance {
    return { ...allowance, grant: Number(allowance.grant), reportAfter: Number(allowance.reportAfter) };
}
