/** Compares the ledger with an engine's own report, taken after every order it speaks of had settled. */
import { type ReportRequest } from "@winchpath/upstream";
import { isSettled } from "./ledgers.js";
import { type Adoption, type Holding, type Settlement } from "./schemas.js";

export interface Findings {
    readonly settlements: Settlement[];
    readonly adoptions: Adoption[];
}

/** What the report proves. Holdings whose last order has not settled yet are left alone. */
export function reconcile(held: readonly Holding[], report: ReportRequest): Findings {
    const settled = { term: Number(report.settled?.term ?? 0n), index: Number(report.settled?.index ?? 0n) };
    const present = new Map(report.residents.map(resident => [`${resident.accelerator}/${resident.item}`, resident]));
    const settlements: Settlement[] = [];
    for (const holding of held) {
        const resident = present.get(`${holding.accelerator}/${holding.item}`);
        const found = isSettled(holding.fence, settled) ? findingOf(holding, resident?.ready) : undefined;
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

/** `ready` is undefined where the engine does not hold the item. */
function findingOf(holding: Holding, ready: boolean | undefined): Settlement["found"] | undefined {
    if (ready === undefined) {
        return "gone";
    }
    // Present and ready: a load has ended, or an unload never took effect.
    return ready && holding.state !== "resident" ? "resident" : undefined;
}
