/** Use of capacity by client accounts, from the metrics of entries. */
import { formatTable } from "./tables.js";

/** Use by one account at one service over all entries. */
export interface AccountUsage {
    readonly service: string;
    readonly account: string;
    readonly weight: number;
    /** Fraction of the service's work in the time between the two readings, from 0 to 1. */
    readonly share: number;
    /** Work per second that was sent to upstreams, in prompt tokens or requests. */
    readonly workPerSecond: number;
    /** The same, rejected because upstreams were full or because the account had used its share. */
    readonly refusedPerSecond: number;
    /** Requests that are waiting, and their work. */
    readonly waiting: number;
    readonly backlog: number;
    /** Number of entries that limit the account to its share. */
    readonly limitedAt: number;
}

/** Sample of a metric with the labels `service` and `account`. */
interface Sample {
    readonly metric: string;
    readonly service: string;
    readonly account: string;
    readonly value: number;
}

type Sums = Map<string, Map<string, number>>;

/** Metrics of which the largest value over entries counts, rather than the sum. */
const maximized = "account_weight";

/**
 * Calculates the use from two readings of the metrics of all entries. `seconds`: time between those of each entry, which
 * differs where an entry responds late. A counter that has decreased means
 * that the entry was restarted in between.
 */
export function accountUsages(
    before: readonly string[],
    after: readonly string[],
    seconds: readonly number[],
): AccountUsage[] {
    const increases = new Map<string, Map<string, number>>();
    const rates: Sums = new Map();
    after.forEach((text, index) => {
        addIncreases(increases, before[index] ?? "", text, 1);
        addIncreases(rates, before[index] ?? "", text, seconds[index]);
    });
    const current: Sums = new Map();
    after.flatMap(parseSamples).forEach(sample => addSample(current, sample));
    const serviceWork = new Map<string, number>();
    for (const [key, metrics] of increases) {
        const { service } = parseKey(key);
        serviceWork.set(service, (serviceWork.get(service) ?? 0) + (metrics.get("account_work_total") ?? 0));
    }
    return [...current].map(([key, gauges]): AccountUsage => {
        const { service, account } = parseKey(key);
        const work = increases.get(key)?.get("account_work_total") ?? 0;
        return {
            service,
            account,
            weight: gauges.get("account_weight") ?? 1,
            share: work === 0 ? 0 : work / serviceWork.get(service)!,
            workPerSecond: rates.get(key)?.get("account_work_total") ?? 0,
            refusedPerSecond: rates.get(key)?.get("account_refused_work_total") ?? 0,
            waiting: gauges.get("account_waiting") ?? 0,
            backlog: gauges.get("account_backlog_work") ?? 0,
            limitedAt: gauges.get("account_over_share") ?? 0,
        };
    }).sort((a, b) => a.service.localeCompare(b.service) || b.workPerSecond - a.workPerSecond);
}

export function formatAccountUsages(usages: readonly AccountUsage[]): string {
    return formatTable(
        ["SERVICE", "ACCOUNT", "WEIGHT", "SHARE", "WORK/S", "REFUSED/S", "WAITING", "BACKLOG", "LIMITED AT"],
        usages.map(usage => [
            usage.service,
            usage.account,
            usage.weight.toFixed(2),
            `${(usage.share * 100).toFixed(1)}%`,
            Math.round(usage.workPerSecond),
            Math.round(usage.refusedPerSecond),
            usage.waiting,
            Math.round(usage.backlog),
            usage.limitedAt === 0 ? "-" : `${usage.limitedAt} entries`,
        ]),
    );
}

function parseSamples(text: string): Sample[] {
    return text.split("\n").flatMap(line => {
        const [, metric, labels, value] = /^winchpath_(account_\w+)\{(.*)\} (\S+)$/.exec(line) ?? [];
        const service = readLabel(labels, "service");
        const account = readLabel(labels, "account");
        return service === undefined || account === undefined
            ? []
            : [{ metric, service, account, value: Number(value) }];
    });
}

/** Label values are written as JSON strings. */
function readLabel(labels: string | undefined, name: string): string | undefined {
    const quoted = new RegExp(`(?:^|,)${name}=("(?:[^"\\\\]|\\\\.)*")`).exec(labels ?? "")?.[1];
    return quoted === undefined ? undefined : JSON.parse(quoted) as string;
}

/** Adds the increases between two readings, divided by `seconds`. */
function addIncreases(sums: Sums, before: string, after: string, seconds: number): void {
    const earlier: Sums = new Map();
    parseSamples(before).forEach(sample => addSample(earlier, sample));
    const later: Sums = new Map();
    parseSamples(after).forEach(sample => addSample(later, sample));
    for (const [key, metrics] of later) {
        for (const [metric, value] of metrics) {
            const previous = earlier.get(key)?.get(metric) ?? 0;
            const { service, account } = parseKey(key);
            const increase = value < previous ? value : value - previous;
            addSample(sums, { metric, service, account, value: increase / seconds });
        }
    }
}

function addSample(sums: Sums, { metric, service, account, value }: Sample): void {
    const key = JSON.stringify([service, account]);
    const metrics = sums.get(key) ?? new Map<string, number>();
    const previous = metrics.get(metric) ?? 0;
    metrics.set(metric, metric === maximized ? Math.max(previous, value) : previous + value);
    sums.set(key, metrics);
}

function parseKey(key: string): { readonly service: string; readonly account: string; } {
    const [service, account] = JSON.parse(key) as [string, string];
    return { service, account };
}
