/** Schemas of the claim commands and their replicated state. */
import Type, { type Static } from "typebox";

/** A response stored with its claim. */
export const StoredResponse = Type.Object({
    status: Type.Integer(),
    headers: Type.Array(Type.Tuple([Type.String(), Type.String()])),
    /** The body in base64. */
    body: Type.String(),
});
export type StoredResponse = Static<typeof StoredResponse>;

/** Assigns a request with an idempotency key to the process that may run it. */
export const Claim = Type.Object({
    key: Type.String(),
    requestId: Type.String(),
    /** Digest of the request; reuse of the key for a different request is rejected. */
    fingerprint: Type.String(),
    attempt: Type.Integer(),
    /** Unique ID created by the process to which this attempt is assigned. */
    holder: Type.String(),
    upstream: Type.String(),
    url: Type.String(),
    incarnation: Type.String(),
    /** Sequence number of the report on which the upstream was selected. */
    seenReport: Type.Integer(),
    /** The leader's clock, in milliseconds since the epoch. */
    expiresAt: Type.Integer(),
    /** Set once the request is known to have completed. */
    ran: Type.Optional(Type.Boolean()),
    /** Stored for small responses, within the total size limit. */
    answer: Type.Optional(StoredResponse),
});
export type Claim = Static<typeof Claim>;

const attemptLocation = {
    upstream: Type.String(),
    url: Type.String(),
    incarnation: Type.String(),
    seenReport: Type.Integer(),
};

export const ClaimCommand = Type.Union([
    Type.Object({
        op: Type.Literal("claim"),
        key: Type.String(),
        requestId: Type.String(),
        fingerprint: Type.String(),
        holder: Type.String(),
        windowMs: Type.Integer(),
        ...attemptLocation,
    }),
    /** Assigns the next attempt to `holder` if `fromAttempt` is still the latest. */
    Type.Object({
        op: Type.Literal("reassign"),
        key: Type.String(),
        fromAttempt: Type.Integer(),
        holder: Type.String(),
        ...attemptLocation,
    }),
    /** Removes the claim: the attempt did not run and there will be no other. */
    Type.Object({ op: Type.Literal("release"), key: Type.String(), attempt: Type.Integer() }),
    /** Records that the attempt has completed, with its response if small enough. */
    Type.Object({
        op: Type.Literal("answer"),
        key: Type.String(),
        attempt: Type.Integer(),
        answer: Type.Optional(StoredResponse),
    }),
]);
export type ClaimCommand = Static<typeof ClaimCommand>;

/** Result of a claim command. */
export type ClaimResult =
    /** The attempt is assigned to the proposer. */
    | { readonly tag: "mine"; readonly claim: Claim; }
    /** The attempt is or was assigned to another process. */
    | { readonly tag: "held"; readonly claim: Claim; }
    /** The key was used for a different request. */
    | { readonly tag: "mismatch"; }
    /** The key is not claimed. */
    | { readonly tag: "free"; };
