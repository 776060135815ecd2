/** Compares the ledger with an engine's report. */
import { type ReportRequest } from "@winchpath/upstream";
import { isSettled } from "./ledgers.js";
import { type Adoption, type Holding, type Settlement } from "./schemas.js";

export interface Findings {
    readonly settlements: Settlement[];
    readonly adoptions: Adoption[];
}

/** Returns what the report proves; skips holdings whose latest order is not yet settled. */
export function reconcile(held: readonly Holding[], report: ReportRequest): Findings {
    const settled = { term: Number(report.settled?.term ?? 0n), index: Number(report.settled?.index ?? 0n) };
    const present = new Map(report.residents.map(resident => [`${resident.accelerator}/${resident.item}`, resident]));
    const settlements: Settlement[] = [];
    for (const holding of held) {
        const resident = present.get(`${holding.accelerator}/${holding.item}`);
        const found = isSettled(holding.fence, settled) ? findingFor(holding, resident?.ready) : undefined;
        if (found !== undefined) {
            const { upstream, accelerator, item, fence } = holding;
            settlements.push({ upstream, accelerator, item, fence, found });
        }
    }
    const known = new Set(held.map(({ accelerator, item }) => `${accelerator}/${item}`));
    const adoptions = report.residents.filter(({ accelerator, item }) => !known.has(`${accelerator}/${item}`));
    return {
        settlements,
        adoptions: adoptions.map(({ accelerator, item, bytes }) => ({
            upstream: report.upstream,
            accelerator,
            item,
            bytes: Number(bytes),
        })),
    };
}

/** `ready` is undefined if the engine does not hold the item. */
function findingFor(holding: Holding, ready: boolean | undefined): Settlement["found"] | undefined {
    if (ready === undefined) {
        return "gone";
    }
    // Ready: a load has completed, or an unload did not take effect.
    return ready && holding.state !== "resident" ? "resident" : undefined;
}
