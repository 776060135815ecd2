/** The claims' commands and state. */
import Type, { type Static } from "typebox";

/** An answer that is kept with its claim. */
export const KeptAnswer = Type.Object({
    status: Type.Integer(),
    headers: Type.Array(Type.Tuple([Type.String(), Type.String()])),
    /** The body in base64. */
    body: Type.String(),
});
export type KeptAnswer = Static<typeof KeptAnswer>;

/** Who may run a request that carries an idempotency key. */
export const Claim = Type.Object({
    key: Type.String(),
    requestId: Type.String(),
    /** Digest of the request; the same key with another request is refused. */
    fingerprint: Type.String(),
    attempt: Type.Integer(),
    /** Made by the process that was given this attempt. */
    holder: Type.String(),
    upstream: Type.String(),
    url: Type.String(),
    incarnation: Type.String(),
    /** The report that the attempt's upstream was chosen by. */
    seenReport: Type.Integer(),
    /** Leader's clock in milliseconds since the epoch. */
    expiresAt: Type.Integer(),
    /** It is known to have run to its end. */
    ran: Type.Optional(Type.Boolean()),
    /** Small answers, as long as there is room for them. */
    answer: Type.Optional(KeptAnswer),
});
export type Claim = Static<typeof Claim>;

const Place = { upstream: Type.String(), url: Type.String(), incarnation: Type.String(), seenReport: Type.Integer() };

export const ClaimCommand = Type.Union([
    Type.Object({
        op: Type.Literal("claim"),
        key: Type.String(),
        requestId: Type.String(),
        fingerprint: Type.String(),
        holder: Type.String(),
        windowMs: Type.Integer(),
        ...Place,
    }),
    /** Gives the next attempt to `holder`, where `fromAttempt` is still the newest one. */
    Type.Object({
        op: Type.Literal("reassign"),
        key: Type.String(),
        fromAttempt: Type.Integer(),
        holder: Type.String(),
        ...Place,
    }),
    /** The attempt was not run, and there will be no other. */
    Type.Object({ op: Type.Literal("release"), key: Type.String(), attempt: Type.Integer() }),
    /** The attempt has run to its end; its answer is kept where it is small. */
    Type.Object({
        op: Type.Literal("answer"),
        key: Type.String(),
        attempt: Type.Integer(),
        answer: Type.Optional(KeptAnswer),
    }),
]);
export type ClaimCommand = Static<typeof ClaimCommand>;

/** What a claims command gave. */
export type ClaimResult =
    /** The attempt is the proposer's. */
    | { readonly tag: "mine"; readonly claim: Claim; }
    /** Another process has it, or had it. */
    | { readonly tag: "held"; readonly claim: Claim; }
    /** The key belongs to a different request. */
    | { readonly tag: "mismatch"; }
    /** There is no claim on the key. */
    | { readonly tag: "free"; };
