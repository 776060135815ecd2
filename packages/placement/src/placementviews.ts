/** Input of a placer: accelerators with their holdings, and the demand for each model. */
import { type Catalogue } from "@winchpath/declarations";
import { type LiveUpstream } from "@winchpath/upstream";
import { type Ledger } from "./ledgers.js";
import { type Holding } from "./schemas.js";

/** One accelerator. Placers update `free` and `items` on their own copy. */
export interface AcceleratorView {
    readonly upstream: string;
    readonly accelerator: string;
    readonly dataCentre: string;
    readonly speed: number;
    readonly bytes: number;
    /** Requests that the upstream can process concurrently at full speed. */
    readonly capacity: number;
    /** Whether it counts as a replica: false for upstreams that are draining. */
    readonly stays: boolean;
    /** Whether orders may currently be sent to it. */
    readonly orderable: boolean;
    free: number;
    readonly items: Map<string, HeldItem>;
}

export interface HeldItem {
    readonly state: Holding["state"];
    readonly bytes: number;
    /** Whether the engine reports that it can serve the item. */
    readonly ready: boolean;
}

/** Demand for one model, adapters included, over all entries. */
export interface Demand {
    /** Requests per second, smoothed. */
    readonly rate: number;
    /** Running and waiting requests, smoothed; the higher of a fast and a slow average. */
    readonly busy: number;
}

export interface PlacementView {
    readonly catalogue: Catalogue;
    readonly accelerators: readonly AcceleratorView[];
    readonly demand: ReadonlyMap<string, Demand>;
    /** Cost of a move, as a share of one replica's capacity. */
    readonly moveCost: number;
}

/** An order that a placer requests, with its reason. */
export interface Action {
    readonly kind: "load" | "unload";
    readonly upstream: string;
    readonly accelerator: string;
    readonly item: string;
    readonly bytes: number;
    readonly reason: string;
}

/** Plans the next loads and unloads. */
export interface Placer {
    plan(view: PlacementView): Action[];
}

/** Returns the accelerators of all live engines, sorted by name. */
export function acceleratorViews(
    ledger: Ledger,
    live: readonly LiveUpstream[],
    drained: ReadonlySet<string>,
    orderable: (upstream: LiveUpstream) => boolean,
): AcceleratorView[] {
    const views = live.flatMap(upstream => viewsOf(ledger, upstream, drained, orderable(upstream)));
    return views.sort((a, b) => acceleratorKey(a) < acceleratorKey(b) ? -1 : 1);
}

function viewsOf(
    ledger: Ledger,
    live: LiveUpstream,
    drained: ReadonlySet<string>,
    orderable: boolean,
): AcceleratorView[] {
    const { report, ready } = live;
    const known = ledger.upstream(report.upstream);
    const held = ledger.holdingsOf(report.upstream);
    return (known?.accelerators ?? []).map(({ name, bytes, speed }) => {
        const mine = held.filter(holding => holding.accelerator === name);
        const items = new Map(mine.map(({ item, state, bytes: size }): [string, HeldItem] => [
            item,
            { state, bytes: size, ready: ready.get(name)?.has(item) ?? false },
        ]));
        return {
            upstream: report.upstream,
            accelerator: name,
            dataCentre: report.dataCentre,
            speed,
            bytes,
            capacity: report.load?.capacity ?? 1,
            stays: live.leavingSince === undefined && !drained.has(report.upstream),
            orderable,
            free: bytes - mine.reduce((sum, holding) => sum + holding.bytes, 0),
            items,
        };
    });
}

export function acceleratorKey(view: { readonly upstream: string; readonly accelerator: string; }): string {
    return `${view.upstream}/${view.accelerator}`;
}
