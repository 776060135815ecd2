/** The engine's protocol for state and orders: JSON over HTTP. */
import Type, { type Static } from "typebox";

export const FenceNumber = Type.Object({ term: Type.Integer(), index: Type.Integer() });

/** `GET /engine/state` */
export const EngineState = Type.Object({
    residents: Type.Array(Type.Object({
        accelerator: Type.String(),
        /** "name@version" */
        item: Type.String(),
        bytes: Type.Integer(),
        ready: Type.Boolean(),
    })),
    load: Type.Object({
        running: Type.Integer(),
        waiting: Type.Integer(),
        /** Age of these figures in milliseconds. */
        ageMs: Type.Integer(),
    }),
});
export type EngineState = Static<typeof EngineState>;

/** `POST /engine/orders`; the response is 202, or 409 for an outdated fencing token. */
export const EngineOrder = Type.Object({
    fence: FenceNumber,
    kind: Type.Union([Type.Literal("load"), Type.Literal("unload"), Type.Literal("barrier")]),
    accelerator: Type.String(),
    item: Type.String(),
    bytes: Type.Integer(),
});
export type EngineOrder = Static<typeof EngineOrder>;

/** Response header by which an engine or service states that it did not start the request. */
export const notStartedHeader = "winchpath-not-started";
/** Response header, with value 1, by which an engine or service announces that it is leaving. */
export const leavingHeader = "winchpath-leaving";
