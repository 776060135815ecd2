/** Schemas of the declared resources and of changes to them. Sizes are strings, decoded by the catalogue. */
import { Name, Size, sizeWith } from "@winchpath/core";
import Type, { type Static } from "typebox";

const strict = { additionalProperties: false };
const lowestPriority = 0;
const highestPriority = 9;
const defaultPriority = 5;

const Version = Type.String({ pattern: "^[A-Za-z0-9._-]{1,40}$" });
const Priority = Type.Integer({ minimum: lowestPriority, maximum: highestPriority, default: defaultPriority });

/** A model that must be loaded and reachable at all times. */
export const ModelSpec = Type.Object({
    version: Version,
    /** Accelerator memory for the weights. */
    memory: Size,
    /** Accelerator memory reserved for the prompt cache. */
    cache: sizeWith({ default: "0 B" }),
    /** 9 is the most urgent. */
    priority: Priority,
    /** Replicas that are kept regardless of demand. */
    minReplicas: Type.Integer({ minimum: 1, default: 1 }),
    /** Upper limit for scaling by demand. */
    maxReplicas: Type.Integer({ minimum: 1, default: 8 }),
    /** Data centres in which it may be placed; all if absent. */
    dataCentres: Type.Optional(Type.Array(Name, { minItems: 1 })),
}, strict);

/** An adapter of a model, loaded wherever its model is loaded. */
export const AdapterSpec = Type.Object({
    model: Name,
    version: Version,
    memory: Size,
}, strict);

/** A plain service. Upstreams announce which service they provide. */
export const ServiceSpec = Type.Object({
    priority: Priority,
}, strict);

/** Drains the upstream of the same name: it is to unload its models and receive no more requests. */
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

/** A declared resource. */
export const Resource = Type.Object({
    kind: Kind,
    name: Name,
    /** Revision of the last change; an update must state it as its base version. */
    version: Type.Integer({ minimum: 0 }),
    /** Operator of the last change. */
    operator: Type.String(),
    changeId: Type.String(),
    spec: Type.Unknown(),
}, strict);
export type Resource = Static<typeof Resource>;

const Put = Type.Object({
    op: Type.Literal("put"),
    kind: Kind,
    name: Name,
    /** Version that the change is based on; 0 for a new resource. */
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

/** An atomic change: either all of its items take effect or none. */
export const Change = Type.Object({
    /** Idempotency key chosen by the operator's client: resending a change returns the first result. */
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

/** Result of a change. */
export const ChangeResult = Type.Union([
    Type.Object({
        tag: Type.Literal("accepted"),
        /** Revision of the declarations that includes the change. */
        revision: Type.Integer(),
        /** Number of items that matched the current declarations. */
        unchanged: Type.Integer(),
    }),
    Type.Object({ tag: Type.Literal("refused"), issues: Type.Array(IssueSchema) }),
]);
export type ChangeResult = Static<typeof ChangeResult>;
