export * from "./agents.js";
export * from "./engines.js";
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
export { refusedChunk, type RunRefusal } from "./records.js";
export * from "./registrars.js";
export * from "./reporters.js";
export * from "./runners.js";
export * from "./schemas.js";
export * from "./services.js";
export * from "./tables.js";
