/** Encodes feed messages. Each version of an upstream is encoded once and shared by the responses to all entries. */
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { type QuarantineChanges, type TrialDecision } from "@winchpath/quarantine";
import { type Departure } from "./departures.js";
import {
    type DepartedUpstream,
    type PollResponse,
    TrialDecision as EncodedDecision,
    type Upstream,
    UpstreamSchema,
} from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type SoftwareVersionState } from "./softwareversions.js";

export type SoftwareVersionSource = Pick<SoftwareVersionState, "position" | "services" | "versionsOf">;

const encodedUpstreams = new WeakMap<Upstream, Uint8Array>();

/** Returns the cached encoding of an upstream, which must not be modified after the first call. */
export function encodeUpstream(upstream: Upstream): Uint8Array {
    let bytes = encodedUpstreams.get(upstream);
    if (bytes === undefined) {
        bytes = toBinary(UpstreamSchema, upstream);
        encodedUpstreams.set(upstream, bytes);
    }
    return bytes;
}

export function decodeUpstream(bytes: Uint8Array): Upstream {
    return fromBinary(UpstreamSchema, bytes);
}

export function encodeDeparture({ name, born, softwareVersion, hasLeft, term }: Departure) {
    return { name, born, softwareVersion, left: hasLeft, term: BigInt(term) };
}

export function decodeDeparture({ name, born, softwareVersion, left, term }: DepartedUpstream): Departure {
    return { name, born, softwareVersion, hasLeft: left, term: Number(term) };
}

export function encodeQuarantine({ position, whole, listed, removed }: QuarantineChanges) {
    return {
        quarantinePosition: BigInt(position),
        quarantineWhole: whole,
        quarantined: listed.map(({ fingerprint, size, standing, occasions }) => ({
            fingerprint,
            size,
            occasions,
            barred: standing === "barred",
        })),
        unquarantined: [...removed],
    };
}

export function decodeQuarantine(res: PollResponse): QuarantineChanges {
    return {
        position: Number(res.quarantinePosition),
        whole: res.quarantineWhole,
        listed: res.quarantined.map(({ fingerprint, size, barred, occasions }) => ({
            fingerprint,
            size,
            occasions,
            standing: barred ? "barred" : "suspected",
        })),
        removed: res.unquarantined,
    };
}

/** Encodes the committed software versions for an entry that holds those of `position`; undefined if they are unknown. */
export function encodeSoftwareVersions(state: SoftwareVersionSource | undefined, position: bigint | undefined) {
    const isListed = state !== undefined && BigInt(state.position) !== position;
    return {
        softwareVersionsKnown: state !== undefined,
        softwareVersionPosition: BigInt(state?.position ?? 0),
        softwareVersionsListed: isListed,
        softwareVersions: !isListed ? [] : state.services().map(service => ({
            service,
            versions: state.versionsOf(service).map(({ version }) => version),
        })),
    };
}

const encodedDecisions: Readonly<Record<TrialDecision, EncodedDecision>> = {
    granted: EncodedDecision.GRANTED,
    wait: EncodedDecision.WAIT,
    rejected: EncodedDecision.REJECTED,
};

export function encodeTrialDecision(decision: TrialDecision): EncodedDecision {
    return encodedDecisions[decision];
}

/** Returns undefined for a decision that this version doesn't know. */
export function decodeTrialDecision(encoded: EncodedDecision): TrialDecision | undefined {
    return (Object.keys(encodedDecisions) as TrialDecision[]).find(decision => encodedDecisions[decision] === encoded);
}
