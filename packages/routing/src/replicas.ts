/** Where a request can go: the ready replicas of its target. */
import { type Item, type Target } from "@winchpath/declarations";
import { type LiveUpstream } from "@winchpath/upstream";

/** One upstream that is ready for a target. */
export interface RoutedReplica {
    readonly upstream: string;
    readonly url: string;
    readonly incarnation: string;
    readonly dataCentre: string;
    /** "name@version" to ask the engine for; empty for a plain service. */
    readonly item: string;
    /** Requests that it serves at once at full speed. */
    readonly capacity: number;
    /** Requests in it as it last told, and Date.now() as of which. */
    readonly reportedLoad: number;
    readonly reportedAt: number;
    /** Number of its newest report; see `RunRequest.seen_report`. */
    readonly sequence: bigint;
}

/** A leaver gets no new work this long after it has told. */
const leavingGraceMs = 1500;
const engine = "engine";

/** An upstream that holds a target, and the item to ask it for. */
export interface Holder {
    readonly upstream: string;
    /** "name@version"; empty for a plain service. */
    readonly item: string;
}

/**
 * Holders of the declared version; those of an earlier version only while no
 * upstream is ready for the declared one.
 */
export function holdersOf(target: Target, live: readonly LiveUpstream[]): Holder[] {
    const engines = live.filter(({ report }) => report.service === engine);
    const current = engines.flatMap(each => holderOf(each, [target.model, target.adapter]));
    return current.length > 0 ? current : engines.flatMap(each => earlierVersion(each, target));
}

/** Upstreams of a plain service. */
export function holdersOfService(service: string, live: readonly LiveUpstream[]): Holder[] {
    return live.filter(({ report }) => report.service === service).map(({ report }) => ({
        upstream: report.upstream,
        item: "",
    }));
}

/** The holders that have a lease now, with their newest reports; leavers only while there is no other. */
export function routedReplicas(
    holders: readonly Holder[],
    find: (upstream: string) => LiveUpstream | undefined,
    drained: ReadonlyMap<string, number>,
): RoutedReplica[] {
    const live = holders.flatMap(({ upstream, item }) => {
        const found = find(upstream);
        return found === undefined ? [] : [{ found, replica: routed(found, item) }];
    });
    return withoutLeavers(live.map(({ replica }) => replica), live.map(({ found }) => found), drained);
}

function holderOf(live: LiveUpstream, items: readonly (Item | undefined)[]): Holder[] {
    const ids = items.filter(item => item !== undefined).map(item => item.id);
    const holds = [...live.ready.values()].some(ready => ids.every(id => ready.has(id)));
    return holds ? [{ upstream: live.report.upstream, item: ids.at(-1)! }] : [];
}

function earlierVersion(live: LiveUpstream, target: Target): Holder[] {
    const names = [target.model.name, target.adapter?.name].filter(name => name !== undefined);
    for (const ready of live.ready.values()) {
        const ids = names.map(name => [...ready].find(id => id.startsWith(`${name}@`)));
        if (ids.every(id => id !== undefined)) {
            return [{ upstream: live.report.upstream, item: ids.at(-1)! }];
        }
    }
    return [];
}

function withoutLeavers(
    found: readonly RoutedReplica[],
    live: readonly LiveUpstream[],
    drained: ReadonlyMap<string, number>,
): RoutedReplica[] {
    const leavingSince = new Map<string, number>();
    live.forEach(({ report, leavingSince: since }) => {
        const told = since ?? drained.get(report.upstream);
        if (told !== undefined) {
            leavingSince.set(report.upstream, told);
        }
    });
    const staying = found.filter(replica => !leavingSince.has(replica.upstream));
    if (staying.length > 0) {
        return staying;
    }
    return found.filter(replica => Date.now() - leavingSince.get(replica.upstream)! <= leavingGraceMs);
}

function routed(live: LiveUpstream, item: string): RoutedReplica {
    const { report, heardAt } = live;
    const speed = Math.max(1, ...report.accelerators.map(accelerator => accelerator.speed));
    return {
        upstream: report.upstream,
        url: report.url,
        incarnation: report.incarnation,
        dataCentre: report.dataCentre,
        item,
        capacity: Math.max(1, report.load?.capacity ?? 1) * speed,
        reportedLoad: (report.load?.running ?? 0) + (report.load?.waiting ?? 0),
        reportedAt: heardAt - report.loadAgeMs,
        sequence: report.sequence,
    };
}
