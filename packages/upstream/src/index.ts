export * from "./agents.js";
export * from "./engineschemas.js";
export * from "./fences.js";
export {
    AgentService,
    FenceOutcome,
    type Header,
    HeaderSchema,
    type Load,
    OrderKind,
    OrderOutcome,
    type OrderRequest,
    OrderRequestSchema,
    Refusal,
    RegistrarService,
    type ReportRequest,
    ReportRequestSchema,
    type ReportResponse,
    ResourceRevisionSchema,
    type RunChunk,
    RunChunkSchema,
    type RunRequest,
    RunRequestSchema,
} from "./gen/winchpath/upstream/v1/upstream_pb.js";
export * from "./orders.js";
export * from "./registrars.js";
export * from "./reporters.js";
export * from "./runners.js";
export { refusedChunk, type RunRefusal } from "./runrecords.js";
export * from "./runtables.js";
export * from "./services.js";
export * from "./upstreams.js";
