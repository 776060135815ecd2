/** Finds the ready replicas of a target. */
import { type Item, type Target } from "@winchpath/declarations";
import { type LiveUpstream } from "@winchpath/upstream";

/** An upstream that is ready to serve a target. */
export interface RoutedReplica {
    readonly upstream: string;
    readonly url: string;
    readonly incarnation: string;
    readonly dataCentre: string;
    /** "name@version" to request from the engine; empty for a plain service. */
    readonly item: string;
    /** Requests that it can process concurrently at full speed. */
    readonly capacity: number;
    /** Requests at the upstream according to its latest report, and the Date.now() at which that was measured. */
    readonly reportedLoad: number;
    readonly reportedAt: number;
    /** Sequence number of its latest report; see `RunRequest.seen_report`. */
    readonly sequence: bigint;
}

/** A draining upstream gets no requests once this much time has passed since its announcement. */
const drainGraceMs = 1500;
const engine = "engine";

/** An upstream that serves a target, and the item to request from it. */
export interface TargetReplica {
    readonly upstream: string;
    /** "name@version"; empty for a plain service. */
    readonly item: string;
}

/**
 * Returns upstreams with the declared version, or those with an earlier version
 * while no upstream has the declared one ready.
 */
export function findTargetReplicas(target: Target, live: readonly LiveUpstream[]): TargetReplica[] {
    const engines = live.filter(({ report }) => report.service === engine);
    const current = engines.flatMap(each => currentVersionReplica(each, [target.model, target.adapter]));
    return current.length > 0 ? current : engines.flatMap(each => earlierVersionReplica(each, target));
}

/** Returns the upstreams of a plain service. */
export function findServiceReplicas(service: string, live: readonly LiveUpstream[]): TargetReplica[] {
    return live.filter(({ report }) => report.service === service).map(({ report }) => ({
        upstream: report.upstream,
        item: "",
    }));
}

/** Returns the replicas with a current lease; draining ones only if there are no others. */
export function routedReplicas(
    targetReplicas: readonly TargetReplica[],
    find: (upstream: string) => LiveUpstream | undefined,
    drained: ReadonlyMap<string, number>,
): RoutedReplica[] {
    const live = targetReplicas.flatMap(({ upstream, item }) => {
        const found = find(upstream);
        return found === undefined ? [] : [{ found, replica: toRoutedReplica(found, item) }];
    });
    return excludeDraining(live.map(({ replica }) => replica), live.map(({ found }) => found), drained);
}

function currentVersionReplica(live: LiveUpstream, items: readonly (Item | undefined)[]): TargetReplica[] {
    const ids = items.filter(item => item !== undefined).map(item => item.id);
    const holds = [...live.ready.values()].some(ready => ids.every(id => ready.has(id)));
    return holds ? [{ upstream: live.report.upstream, item: ids.at(-1)! }] : [];
}

function earlierVersionReplica(live: LiveUpstream, target: Target): TargetReplica[] {
    const names = [target.model.name, target.adapter?.name].filter(name => name !== undefined);
    for (const ready of live.ready.values()) {
        const ids = names.map(name => [...ready].find(id => id.startsWith(`${name}@`)));
        if (ids.every(id => id !== undefined)) {
            return [{ upstream: live.report.upstream, item: ids.at(-1)! }];
        }
    }
    return [];
}

function excludeDraining(
    found: readonly RoutedReplica[],
    live: readonly LiveUpstream[],
    drained: ReadonlyMap<string, number>,
): RoutedReplica[] {
    const drainingSince = new Map<string, number>();
    live.forEach(({ report, leavingSince: since }) => {
        const announcedAt = since ?? drained.get(report.upstream);
        if (announcedAt !== undefined) {
            drainingSince.set(report.upstream, announcedAt);
        }
    });
    const remaining = found.filter(replica => !drainingSince.has(replica.upstream));
    if (remaining.length > 0) {
        return remaining;
    }
    return found.filter(replica => Date.now() - drainingSince.get(replica.upstream)! <= drainGraceMs);
}

function toRoutedReplica(live: LiveUpstream, item: string): RoutedReplica {
    const { report, lastReportAt } = live;
    const speed = Math.max(1, ...report.accelerators.map(accelerator => accelerator.speed));
    return {
        upstream: report.upstream,
        url: report.url,
        incarnation: report.incarnation,
        dataCentre: report.dataCentre,
        item,
        capacity: Math.max(1, report.load?.capacity ?? 1) * speed,
        reportedLoad: (report.load?.running ?? 0) + (report.load?.waiting ?? 0),
        reportedAt: lastReportAt - report.loadAgeMs,
        sequence: report.sequence,
    };
}
