/** Schemas of the ledger's commands and replicated state. */
import Type, { type Static } from "typebox";

/** Leader's term and log index of a command; increases with each command. */
export const FencingNumber = Type.Object({ term: Type.Integer(), index: Type.Integer() });
export type FencingNumber = Static<typeof FencingNumber>;

export const LedgerAccelerator = Type.Object({
    name: Type.String(),
    bytes: Type.Integer(),
    speed: Type.Number(),
});
export type LedgerAccelerator = Static<typeof LedgerAccelerator>;

/** An upstream's accelerators, for one incarnation of its agent. */
export const LedgerUpstream = Type.Object({
    name: Type.String(),
    incarnation: Type.String(),
    dataCentre: Type.String(),
    accelerators: Type.Array(LedgerAccelerator),
});
export type LedgerUpstream = Static<typeof LedgerUpstream>;

/**
 * loading: reserved before the order is sent, until the engine reports the outcome;
 * resident: held; unloading: reserved until the engine reports that the item is gone.
 */
export const HoldingState = Type.Union([
    Type.Literal("loading"),
    Type.Literal("resident"),
    Type.Literal("unloading"),
]);
export type HoldingState = Static<typeof HoldingState>;

const holdingLocation = {
    upstream: Type.String(),
    accelerator: Type.String(),
    /** "name@version" */
    item: Type.String(),
};

export const Holding = Type.Object({
    ...holdingLocation,
    bytes: Type.Integer(),
    state: HoldingState,
    /** Fencing number of the latest order for this item. */
    fence: FencingNumber,
});
export type Holding = Static<typeof Holding>;

/** A holding's state according to the engine's report. */
export const Settlement = Type.Object({
    ...holdingLocation,
    /** The order to which the finding applies; ignored if a later order exists. */
    fence: FencingNumber,
    found: Type.Union([Type.Literal("resident"), Type.Literal("gone")]),
});
export type Settlement = Static<typeof Settlement>;

/** An item that the engine holds but the ledger does not contain. */
export const Adoption = Type.Object({ ...holdingLocation, bytes: Type.Integer() });
export type Adoption = Static<typeof Adoption>;

export const LedgerCommand = Type.Union([
    Type.Object({ op: Type.Literal("register"), upstreams: Type.Array(LedgerUpstream) }),
    Type.Object({ op: Type.Literal("load"), ...holdingLocation, bytes: Type.Integer(), incarnation: Type.String() }),
    Type.Object({ op: Type.Literal("unload"), ...holdingLocation, incarnation: Type.String() }),
    Type.Object({
        op: Type.Literal("settle"),
        settlements: Type.Array(Settlement),
        adoptions: Type.Array(Adoption),
    }),
]);
export type LedgerCommand = Static<typeof LedgerCommand>;

/** Whether an order may be sent, and with which fencing number. */
export type LedgerResult =
    | { readonly tag: "ordered"; readonly fence: FencingNumber; }
    | { readonly tag: "refused"; readonly reason: string; };
