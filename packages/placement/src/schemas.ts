/** The ledger's commands and state. */
import Type, { type Static } from "typebox";

/** Term of the leader and log index of the decision; newer ones are greater. */
export const FencingNumber = Type.Object({ term: Type.Integer(), index: Type.Integer() });
export type FencingNumber = Static<typeof FencingNumber>;

export const LedgerAccelerator = Type.Object({
    name: Type.String(),
    bytes: Type.Integer(),
    speed: Type.Number(),
});
export type LedgerAccelerator = Static<typeof LedgerAccelerator>;

/** An upstream with accelerators, under one incarnation of its agent. */
export const LedgerUpstream = Type.Object({
    name: Type.String(),
    incarnation: Type.String(),
    dataCentre: Type.String(),
    accelerators: Type.Array(LedgerAccelerator),
});
export type LedgerUpstream = Static<typeof LedgerUpstream>;

/**
 * loading: counted before the order goes out, until the engine is known to hold it or not;
 * resident: held; unloading: still counted, until the engine is known not to hold it.
 */
export const HoldingState = Type.Union([
    Type.Literal("loading"),
    Type.Literal("resident"),
    Type.Literal("unloading"),
]);
export type HoldingState = Static<typeof HoldingState>;

const Place = {
    upstream: Type.String(),
    accelerator: Type.String(),
    /** "name@version" */
    item: Type.String(),
};

export const Holding = Type.Object({
    ...Place,
    bytes: Type.Integer(),
    state: HoldingState,
    /** Of the last order about it. */
    fence: FencingNumber,
});
export type Holding = Static<typeof Holding>;

/** What the engine's own report has shown of one holding. */
export const Settlement = Type.Object({
    ...Place,
    /** The order that the finding is about; it counts for no later one. */
    fence: FencingNumber,
    found: Type.Union([Type.Literal("resident"), Type.Literal("gone")]),
});
export type Settlement = Static<typeof Settlement>;

/** Something that the engine holds, and that the ledger did not know of. */
export const Adoption = Type.Object({ ...Place, bytes: Type.Integer() });
export type Adoption = Static<typeof Adoption>;

export const LedgerCommand = Type.Union([
    Type.Object({ op: Type.Literal("register"), upstreams: Type.Array(LedgerUpstream) }),
    Type.Object({ op: Type.Literal("load"), ...Place, bytes: Type.Integer(), incarnation: Type.String() }),
    Type.Object({ op: Type.Literal("unload"), ...Place, incarnation: Type.String() }),
    Type.Object({
        op: Type.Literal("settle"),
        settlements: Type.Array(Settlement),
        adoptions: Type.Array(Adoption),
    }),
]);
export type LedgerCommand = Static<typeof LedgerCommand>;

/** Whether an order may go out, and under which fencing number. */
export type LedgerResult =
    | { readonly tag: "ordered"; readonly fence: FencingNumber; }
    | { readonly tag: "refused"; readonly reason: string; };
