export * from "./controllers.js";
export * from "./demandtrackers.js";
export * from "./firstfitplacers.js";
export {
    type ModelDemand,
    ModelDemandSchema,
    PlacementService,
    ReportDemandRequestSchema,
} from "./gen/winchpath/placement/v1/placement_pb.js";
export * from "./ledgers.js";
export * from "./loadratelimiters.js";
export * from "./placementreasons.js";
export * from "./placementservices.js";
export * from "./placementviews.js";
export * from "./placers.js";
export * from "./reconciliations.js";
export * from "./schemas.js";
