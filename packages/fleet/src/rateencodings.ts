/** Encodes and decodes the upstream rate limits in the entries' reports. */
import { type RateReport } from "@winchpath/availability";
import { type UpstreamRate } from "./gen/winchpath/fleet/v1/fleet_pb.js";

/** Reported ages are capped at this value. */
const maxAgeMs = 3_600_000;

export function encodeRate(report: RateReport) {
    const { upstream } = report;
    const ageMs = Math.round(Math.min(maxAgeMs, report.ageMs));
    return report.kind === "lifted"
        ? { upstream, ageMs, lifted: true }
        : { upstream, ageMs, perSecond: report.perSecond, wanted: report.wanted, held: report.held };
}

export function decodeRate({ upstream, ageMs, lifted, perSecond, wanted, held }: UpstreamRate): RateReport {
    return lifted
        ? { kind: "lifted", upstream, ageMs }
        : { kind: "limited", upstream, perSecond, ageMs, wanted, held };
}
