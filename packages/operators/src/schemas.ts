/** Messages of the operators' interface; the command line uses the same. */
import { Change, ChangeResult, Kind, Resource } from "@winchpath/declarations";
import Type, { type Static } from "typebox";

export const ChangeRequest = Type.Object({ ...Change.properties, dryRun: Type.Optional(Type.Boolean()) }, {
    additionalProperties: false,
});
export type ChangeRequest = Static<typeof ChangeRequest>;

export const PutRequest = Type.Object({
    changeId: Type.String({ minLength: 1, maxLength: 100 }),
    operator: Type.String({ minLength: 1, maxLength: 100 }),
    /** Version that the change builds on; 0 for a resource that is new. */
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

/** A line of the watch: everything as of a revision first, then each change. */
export const WatchLine = Type.Union([
    Type.Object({ type: Type.Literal("snapshot"), revision: Type.Integer(), items: Type.Array(Resource) }),
    Type.Object({ type: Type.Literal("put"), revision: Type.Integer(), resource: Resource }),
    Type.Object({ type: Type.Literal("delete"), revision: Type.Integer(), kind: Kind, name: Type.String() }),
]);
export type WatchLine = Static<typeof WatchLine>;

/** What one declared model has, and what keeps it from having more. */
export const ModelStatus = Type.Object({
    name: Type.String(),
    version: Type.String(),
    /** Ready means with all adapters, at the declared version. */
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
    /** Newest revision that its agent knows. */
    revision: Type.Integer(),
    running: Type.Integer(),
    waiting: Type.Integer(),
    capacity: Type.Integer(),
    accelerators: Type.Array(Type.Object({ name: Type.String(), bytes: Type.Integer(), used: Type.Integer() })),
});
export type UpstreamStatus = Static<typeof UpstreamStatus>;

export const MemberView = Type.Object({
    host: Type.String(),
    url: Type.String(),
    role: Type.String(),
    reachable: Type.Boolean(),
    term: Type.Integer(),
    appliedIndex: Type.Integer(),
});
export type MemberView = Static<typeof MemberView>;

export const Status = Type.Object({
    revision: Type.Integer(),
    leader: Type.String(),
    members: Type.Array(MemberView),
    upstreams: Type.Array(UpstreamStatus),
    models: Type.Array(ModelStatus),
    services: Type.Array(Type.Object({ name: Type.String(), upstreams: Type.Integer() })),
    /** Processes in which the newest revision is not in force yet. */
    behind: Type.Array(Type.String()),
});
export type Status = Static<typeof Status>;

export { ChangeResult };
