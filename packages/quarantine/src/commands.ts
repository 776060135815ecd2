/** What is written into the replicated log on requests under which upstreams end. */
import Type, { type Static } from "typebox";

/** A request that ran at an upstream when it ended. */
export const Suspect = Type.Object({
    fingerprint: Type.String({ minLength: 1, maxLength: 64 }),
    /** Of its body, in bytes: entries take no digest of requests of another size. */
    size: Type.Integer({ minimum: 0 }),
    /** How long before this was told it was sent there, in milliseconds; of several copies, the last one. */
    sentAgoMs: Type.Number({ minimum: 0 }),
});
export type Suspect = Static<typeof Suspect>;

/** Sets the key of the fleet's fingerprints; the first one that is set holds. */
export const SetKey = Type.Object({
    kind: Type.Literal("set-key"),
    /** Base64. */
    key: Type.String({ minLength: 1 }),
});
export type SetKey = Static<typeof SetKey>;

/** An incarnation of an upstream ended without leaving; more of what ran there may be told later. */
export const UpstreamEnded = Type.Object({
    kind: Type.Literal("upstream-ended"),
    upstream: Type.String({ minLength: 1 }),
    /** How long before this command, in milliseconds. */
    agoMs: Type.Number({ minimum: 0 }),
    suspects: Type.Array(Suspect),
});
export type UpstreamEnded = Static<typeof UpstreamEnded>;

/** Requests that came to a good end, or are let in again by an operator. */
export const Cleared = Type.Object({
    kind: Type.Literal("cleared"),
    fingerprints: Type.Array(Type.String()),
});
export type Cleared = Static<typeof Cleared>;

/** Lets go of what was known for long enough. */
export const Expire = Type.Object({ kind: Type.Literal("expire") });
export type Expire = Static<typeof Expire>;

export const QuarantineCommand = Type.Union([SetKey, UpstreamEnded, Cleared, Expire]);
export type QuarantineCommand = Static<typeof QuarantineCommand>;
