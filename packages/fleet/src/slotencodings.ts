/** Encodes and decodes leases of retry slots in the entries' reports and the leader's answers. */
import { type SlotGrants, type SlotReport, type SlotReports } from "@winchpath/retries";
import { type DemandRequest, type RetrySlotGrants as EncodedGrants } from "./gen/winchpath/fleet/v1/fleet_pb.js";

/** The fields of a report for the leases of an entry. */
export function encodeSlotReports(term: number, services: readonly SlotReport[]) {
    return { retrySlots: [...services], retrySlotsTerm: BigInt(term) };
}

export function decodeSlotReports(req: DemandRequest): SlotReports {
    return {
        entry: req.entry,
        process: Number(req.process),
        sequence: Number(req.sequence),
        term: Number(req.retrySlotsTerm),
        services: req.retrySlots,
    };
}

export function encodeSlotGrants({ term, lifeMs, services }: SlotGrants) {
    return { term: BigInt(term), lifeMs, services: [...services] };
}

/** Undefined if the leader's version doesn't lease slots. */
export function decodeSlotGrants(grants: EncodedGrants | undefined): SlotGrants | undefined {
    return grants === undefined
        ? undefined
        : { term: Number(grants.term), lifeMs: grants.lifeMs, services: grants.services };
}
