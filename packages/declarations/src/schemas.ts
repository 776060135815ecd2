/** What operators declare. Sizes stand in their written form until a catalogue decodes them. */
import { Name, Size, sizeWith } from "@winchpath/core";
import Type, { type Static } from "typebox";

const strict = { additionalProperties: false };
const lowestPriority = 0;
const highestPriority = 9;
const standardPriority = 5;

const Version = Type.String({ pattern: "^[A-Za-z0-9._-]{1,40}$" });
const Priority = Type.Integer({ minimum: lowestPriority, maximum: highestPriority, default: standardPriority });

/** A model that is to be resident and reachable at all times. */
export const ModelSpec = Type.Object({
    version: Version,
    /** Memory of the weights on an accelerator. */
    memory: Size,
    /** Memory reserved beside the weights for the cache of prompts. */
    cache: sizeWith({ default: "0 B" }),
    /** 9 goes first. */
    priority: Priority,
    /** Replicas that are kept whatever the demand. */
    minReplicas: Type.Integer({ minimum: 1, default: 1 }),
    /** Replicas that demand may bring at most. */
    maxReplicas: Type.Integer({ minimum: 1, default: 8 }),
    /** Data centres that may hold it; all where absent. */
    dataCentres: Type.Optional(Type.Array(Name, { minItems: 1 })),
}, strict);

/** An adapter of a model; resident wherever its model is. */
export const AdapterSpec = Type.Object({
    model: Name,
    version: Version,
    memory: Size,
}, strict);

/** A plain service; upstreams announce that they serve it. */
export const ServiceSpec = Type.Object({
    priority: Priority,
}, strict);

/** An upstream that is to hold and take nothing any more. Its name is the upstream's. */
export const DrainSpec = Type.Object({
    reason: Type.String({ default: "", maxLength: 200 }),
}, strict);

export const Kind = Type.Union([
    Type.Literal("Model"),
    Type.Literal("Adapter"),
    Type.Literal("Service"),
    Type.Literal("Drain"),
]);
export type Kind = Static<typeof Kind>;

/** The schema of each kind's spec. */
export const specSchemas = { Model: ModelSpec, Adapter: AdapterSpec, Service: ServiceSpec, Drain: DrainSpec } as const;

export const kinds = Object.keys(specSchemas) as Kind[];

/** A declaration as it is kept. */
export const Resource = Type.Object({
    kind: Kind,
    name: Name,
    /** Revision at which it was last changed; an update has to name it. */
    version: Type.Integer({ minimum: 0 }),
    /** Who changed it last, and by which change. */
    operator: Type.String(),
    changeId: Type.String(),
    spec: Type.Unknown(),
}, strict);
export type Resource = Static<typeof Resource>;

const Put = Type.Object({
    op: Type.Literal("put"),
    kind: Kind,
    name: Name,
    /** Version that the change builds on; 0 for a resource that is new. */
    baseVersion: Type.Integer({ minimum: 0 }),
    spec: Type.Unknown(),
}, strict);

const Delete = Type.Object({
    op: Type.Literal("delete"),
    kind: Kind,
    name: Name,
    baseVersion: Type.Integer({ minimum: 0 }),
}, strict);

export const ChangeItem = Type.Union([Put, Delete]);
export type ChangeItem = Static<typeof ChangeItem>;

/** One change: all of its items take effect, or none. */
export const Change = Type.Object({
    /** Made by the operator's side; a change that is resent under it answers as the first did. */
    changeId: Type.String({ minLength: 1, maxLength: 100 }),
    operator: Type.String({ minLength: 1, maxLength: 100 }),
    items: Type.Array(ChangeItem, { minItems: 1, maxItems: 5000 }),
}, strict);
export type Change = Static<typeof Change>;

const IssueSchema = Type.Object({
    code: Type.String(),
    path: Type.Array(Type.Union([Type.String(), Type.Number()])),
    message: Type.String(),
});

/** What became of a change. */
export const ChangeResult = Type.Union([
    Type.Object({
        tag: Type.Literal("accepted"),
        /** Revision of the declarations that has the change in it. */
        revision: Type.Integer(),
        /** Items that were as declared already. */
        unchanged: Type.Integer(),
    }),
    Type.Object({ tag: Type.Literal("refused"), issues: Type.Array(IssueSchema) }),
]);
export type ChangeResult = Static<typeof ChangeResult>;
