/** The engine's protocol for state and orders, as JSON over HTTP. */
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
        /** Milliseconds by which the figures lag. */
        ageMs: Type.Integer(),
    }),
});
export type EngineState = Static<typeof EngineState>;

/** `POST /engine/orders`; answered with 202, or 409 where the fencing number is old. */
export const EngineOrder = Type.Object({
    fence: FenceNumber,
    kind: Type.Union([Type.Literal("load"), Type.Literal("unload"), Type.Literal("barrier")]),
    accelerator: Type.String(),
    item: Type.String(),
    bytes: Type.Integer(),
});
export type EngineOrder = Static<typeof EngineOrder>;

/** Header of an engine's or service's answer that says that the request was not started. */
export const notStartedHeader = "winchpath-not-started";
/** Header of any answer of an engine or service that leaves; its value is 1. */
export const leavingHeader = "winchpath-leaving";
