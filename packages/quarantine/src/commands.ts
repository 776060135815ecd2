/** Commands in the replicated log about requests that were running at upstreams that crashed, and their features. */
import Type, { type Static } from "typebox";

/** Bound on the earlier crashes that are named with a suspect. */
export const maxPrecedingCrashes = 8;
/** Bound on the features of a suspect's prompt: two for each of its parts. */
export const maxPartFeatures = 64;

/** A request that was running at an upstream when it crashed. */
export const Suspect = Type.Object({
    fingerprint: Type.String({ minLength: 1, maxLength: 64 }),
    /** Size of its body in bytes: entries compute fingerprints only of requests of a listed size. */
    size: Type.Integer({ minimum: 0 }),
    /** Time since it was sent there, in milliseconds; of several copies, the latest. */
    sentAgoMs: Type.Number({ minimum: 0 }),
    /**
     * Upstreams that had crashed under it before it was sent, as far as its entry knew: reports are delayed by different
     * times, so that times of two reports don't tell the order.
     */
    sentAfter: Type.Optional(Type.Array(Type.String(), { maxItems: maxPrecedingCrashes })),
    /** Features of its prompt that its entry doesn't know to be harmless. */
    parts: Type.Optional(Type.Array(Type.String({ minLength: 1, maxLength: 64 }), { maxItems: maxPartFeatures })),
    /** Whether it ran in a trial, so that no other request with the same suspected features ran. */
    isTrial: Type.Optional(Type.Boolean()),
});
export type Suspect = Static<typeof Suspect>;

/** Sets the fleet's fingerprint key; only the first command takes effect. */
export const SetKey = Type.Object({
    kind: Type.Literal("set-key"),
    /** Encoded as Base64. */
    key: Type.String({ minLength: 1 }),
});
export type SetKey = Static<typeof SetKey>;

/** An incarnation of an upstream crashed; further reports may add suspects later. */
export const UpstreamEnded = Type.Object({
    kind: Type.Literal("upstream-ended"),
    upstream: Type.String({ minLength: 1 }),
    /** Time since the crash, in milliseconds. */
    agoMs: Type.Number({ minimum: 0 }),
    suspects: Type.Array(Suspect),
});
export type UpstreamEnded = Static<typeof UpstreamEnded>;

/** Features of requests that completed successfully, or that an operator has released. */
export const Cleared = Type.Object({
    kind: Type.Literal("cleared"),
    fingerprints: Type.Array(Type.String()),
});
export type Cleared = Static<typeof Cleared>;

/** Removes expired state. */
export const Expire = Type.Object({ kind: Type.Literal("expire") });
export type Expire = Static<typeof Expire>;

export const QuarantineCommand = Type.Union([SetKey, UpstreamEnded, Cleared, Expire]);
export type QuarantineCommand = Static<typeof QuarantineCommand>;
