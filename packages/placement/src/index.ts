export * from "./controllers.js";
export * from "./demands.js";
export {
    type ModelDemand,
    ModelDemandSchema,
    PlacementService,
    ReportDemandRequestSchema,
} from "./gen/winchpath/placement/v1/placement_pb.js";
export * from "./ledgers.js";
export * from "./naive.js";
export * from "./paces.js";
export * from "./placers.js";
export * from "./reasons.js";
export * from "./reconciliations.js";
export * from "./schemas.js";
export * from "./services.js";
export * from "./views.js";
