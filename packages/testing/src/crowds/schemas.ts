/** What each connection of a crowd sends. */
import Type, { type Static } from "typebox";

export const CrowdSpec = Type.Object({
    host: Type.String(),
    port: Type.Integer(),
    connections: Type.Integer({ minimum: 1 }),
    /** Sent once, at the start of each connection. */
    opening: Type.String(),
    /** Sent after it, over and over; empty for nothing. */
    repeated: Type.String(),
    /** How often it is sent; without an end by default. */
    times: Type.Optional(Type.Integer({ minimum: 0 })),
    /** Sent once it has been sent that often. */
    ending: Type.Optional(Type.String()),
    /** Time from the start of one client to that of the next, in milliseconds; they start together by default. */
    startIntervalMs: Type.Optional(Type.Integer({ minimum: 1 })),
    /** For HTTP/2: calls on each connection. `opening` is their path, and `repeated` is sent as the body of each. */
    calls: Type.Optional(Type.Integer({ minimum: 1 })),
});
export type CrowdSpec = Static<typeof CrowdSpec>;
