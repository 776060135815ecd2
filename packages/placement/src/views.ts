/** What a placer decides on: accelerators with what they hold, and the demand for each model. */
import { type Catalogue } from "@winchpath/declarations";
import { type LiveUpstream } from "@winchpath/upstream";
import { type Ledger } from "./ledgers.js";
import { type Holding } from "./schemas.js";

/** One accelerator. Placers that plan several steps change `free` and `items` of their own copy. */
export interface AcceleratorView {
    readonly upstream: string;
    readonly accelerator: string;
    readonly dataCentre: string;
    readonly speed: number;
    readonly bytes: number;
    /** Requests that the upstream serves at once at full speed. */
    readonly capacity: number;
    /** Whether the upstream is there and is to stay: it counts as a replica. */
    readonly stays: boolean;
    /** Whether orders may go to it now. */
    readonly orderable: boolean;
    free: number;
    readonly items: Map<string, HeldItem>;
}

export interface HeldItem {
    readonly state: Holding["state"];
    readonly bytes: number;
    /** Whether the engine says that it answers for the item. */
    readonly ready: boolean;
}

/** Demand for one model, adapters included, over all entries. */
export interface Demand {
    /** Requests a second, smoothed. */
    readonly rate: number;
    /** Requests at upstreams or waiting, smoothed; the higher of a fast and a slow average. */
    readonly busy: number;
}

export interface PlacementView {
    readonly catalogue: Catalogue;
    readonly accelerators: readonly AcceleratorView[];
    readonly demand: ReadonlyMap<string, Demand>;
    /** Price of a move, as a share of the capacity of one replica. */
    readonly moveCost: number;
}

/** An order that a placer asks for, and why. */
export interface Action {
    readonly kind: "load" | "unload";
    readonly upstream: string;
    readonly accelerator: string;
    readonly item: string;
    readonly bytes: number;
    readonly reason: string;
}

/** Decides what to load and unload next. */
export interface Placer {
    plan(view: PlacementView): Action[];
}

/** The accelerators of all live engines, by name. */
export function acceleratorViews(
    ledger: Ledger,
    live: readonly LiveUpstream[],
    drained: ReadonlySet<string>,
    orderable: (upstream: LiveUpstream) => boolean,
): AcceleratorView[] {
    const views = live.flatMap(upstream => viewsOf(ledger, upstream, drained, orderable(upstream)));
    return views.sort((a, b) => keyOf(a) < keyOf(b) ? -1 : 1);
}

function viewsOf(
    ledger: Ledger,
    live: LiveUpstream,
    drained: ReadonlySet<string>,
    orderable: boolean,
): AcceleratorView[] {
    const { report, ready } = live;
    const known = ledger.upstream(report.upstream);
    const held = ledger.heldBy(report.upstream);
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

export function keyOf(view: { readonly upstream: string; readonly accelerator: string; }): string {
    return `${view.upstream}/${view.accelerator}`;
}
