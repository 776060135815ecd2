/** Rates that upstreams have named, as reports of entries carry them. */
import { type RateReport } from "@winchpath/availability";
import { type UpstreamRate } from "./gen/winchpath/fleet/v1/fleet_pb.js";

/** Ages are told up to this, in milliseconds. */
const longestAgeMs = 3_600_000;

export function encodeRate(report: RateReport) {
    const { upstream } = report;
    const ageMs = Math.round(Math.min(longestAgeMs, report.ageMs));
    return report.kind === "lifted"
        ? { upstream, ageMs, lifted: true }
        : { upstream, ageMs, perSecond: report.perSecond, wanted: report.wanted, held: report.held };
}

export function decodeRate({ upstream, ageMs, lifted, perSecond, wanted, held }: UpstreamRate): RateReport {
    return lifted
        ? { kind: "lifted", upstream, ageMs }
        : { kind: "limited", upstream, perSecond, ageMs, wanted, held };
}
