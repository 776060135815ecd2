/**
 * Upstreams as the feed carries them. A leader tells each entry of the same changes; encoded once for all,
 * a thousand upstreams for ninety entries are a thousand encodings, and not ninety thousand.
 */
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { type QuarantineChanges } from "@winchpath/quarantine";
import { type PollResponse, type Upstream, UpstreamSchema } from "./gen/winchpath/fleet/v1/fleet_pb.js";

const encoded = new WeakMap<Upstream, Uint8Array>();

/** An upstream's message; made once, so what was encoded must not be changed any more. */
export function encodeUpstream(upstream: Upstream): Uint8Array {
    let bytes = encoded.get(upstream);
    if (bytes === undefined) {
        bytes = toBinary(UpstreamSchema, upstream);
        encoded.set(upstream, bytes);
    }
    return bytes;
}

export function decodeUpstream(bytes: Uint8Array): Upstream {
    return fromBinary(UpstreamSchema, bytes);
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
