/** Messages of the operators' HTTP interface, shared with the command line. */
import { Change, ChangeResult, Kind, Resource } from "@winchpath/declarations";
import Type, { type Static } from "typebox";

export const ChangeRequest = Type.Object({ ...Change.properties, dryRun: Type.Optional(Type.Boolean()) }, {
    additionalProperties: false,
});
export type ChangeRequest = Static<typeof ChangeRequest>;

export const PutRequest = Type.Object({
    changeId: Type.String({ minLength: 1, maxLength: 100 }),
    operator: Type.String({ minLength: 1, maxLength: 100 }),
    /** Version of the resource that the change is based on; 0 for a new resource. */
    baseVersion: Type.Integer({ minimum: 0 }),
    spec: Type.Unknown(),
}, { additionalProperties: false });

export const DeleteQuery = Type.Object({
    changeId: Type.String({ minLength: 1, maxLength: 100 }),
    operator: Type.String({ minLength: 1, maxLength: 100 }),
    baseVersion: Type.Integer({ minimum: 0 }),
});

export const ResourceList = Type.Object({ revision: Type.Integer(), items: Type.Array(Resource) });
export type ResourceList = Static<typeof ResourceList>;

/** A line of the watch stream: first a snapshot as of a revision, then one line per change. */
export const WatchLine = Type.Union([
    Type.Object({ type: Type.Literal("snapshot"), revision: Type.Integer(), items: Type.Array(Resource) }),
    Type.Object({ type: Type.Literal("put"), revision: Type.Integer(), resource: Resource }),
    Type.Object({ type: Type.Literal("delete"), revision: Type.Integer(), kind: Kind, name: Type.String() }),
]);
export type WatchLine = Static<typeof WatchLine>;

/** Replicas of a declared model, and why some are missing. */
export const ModelStatus = Type.Object({
    name: Type.String(),
    version: Type.String(),
    /** A replica is ready if it has the declared version and all adapters loaded. */
    condition: Type.Union([
        Type.Literal("ready"),
        Type.Literal("progressing"),
        Type.Literal("earlier-version"),
        Type.Literal("unreachable"),
    ]),
    readyReplicas: Type.Integer(),
    wantedReplicas: Type.Integer(),
    loading: Type.Integer(),
    adapters: Type.Integer(),
    readyAt: Type.Array(Type.String()),
    reason: Type.String(),
});
export type ModelStatus = Static<typeof ModelStatus>;

export const UpstreamStatus = Type.Object({
    name: Type.String(),
    service: Type.String(),
    dataCentre: Type.String(),
    url: Type.String(),
    leaving: Type.Boolean(),
    /** Newest revision known to its agent. */
    revision: Type.Integer(),
    running: Type.Integer(),
    waiting: Type.Integer(),
    capacity: Type.Integer(),
    accelerators: Type.Array(Type.Object({ name: Type.String(), bytes: Type.Integer(), used: Type.Integer() })),
});
export type UpstreamStatus = Static<typeof UpstreamStatus>;

export const MemberStatus = Type.Object({
    host: Type.String(),
    url: Type.String(),
    role: Type.String(),
    reachable: Type.Boolean(),
    term: Type.Integer(),
    appliedIndex: Type.Integer(),
});
export type MemberStatus = Static<typeof MemberStatus>;

export const Status = Type.Object({
    revision: Type.Integer(),
    leader: Type.String(),
    members: Type.Array(MemberStatus),
    upstreams: Type.Array(UpstreamStatus),
    models: Type.Array(ModelStatus),
    services: Type.Array(Type.Object({ name: Type.String(), upstreams: Type.Integer() })),
    /** Processes that have not applied the newest revision yet. */
    behind: Type.Array(Type.String()),
});
export type Status = Static<typeof Status>;

export { ChangeResult };
