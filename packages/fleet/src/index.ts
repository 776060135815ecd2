export * from "./admissioncoordinators.js";
export * from "./announcementbatchers.js";
export * from "./announcements.js";
export * from "./configurationconfirmers.js";
export * from "./crashreports.js";
export * from "./demands.js";
export * from "./departurerecorders.js";
export * from "./departures.js";
export * from "./departurestates.js";
export * from "./drainreports.js";
export * from "./encodings.js";
export * from "./enginetimings.js";
export * from "./feedfollowers.js";
export * from "./feeds.js";
export * from "./fleetservices.js";
export * from "./fleetviews.js";
export {
    type AccountAllowance,
    type AccountUse,
    type Announcement,
    AnnouncementSchema,
    type DemandRequest,
    DemandRequestSchema,
    EarlierUnservedSchema,
    type EngineTiming,
    EngineTimingSchema,
    FleetService,
    type HeldModel,
    HeldModelSchema,
    HostCapacitySchema,
    HostGrantSchema,
    type ItemDemand,
    ItemDemandSchema,
    type Mismatch,
    type PollRequest,
    type Upstream,
    UpstreamSchema,
    UpstreamState,
} from "./gen/winchpath/fleet/v1/fleet_pb.js";
export { createHeldModel } from "./heldmodels.js";
export * from "./hostcapacities.js";
export * from "./hostgrants.js";
export * from "./incarnations.js";
export * from "./items.js";
export * from "./meters.js";
export * from "./orderdispatchers.js";
export * from "./orderleases.js";
export * from "./orders.js";
export * from "./outlierdetectors.js";
export * from "./outliermonitors.js";
export * from "./placements.js";
export * from "./plans.js";
export * from "./planstates.js";
export * from "./rateencodings.js";
export type { RegisteredUpstream } from "./registeredupstreams.js";
export * from "./registries.js";
export * from "./registrychanges.js";
export * from "./slotencodings.js";
export * from "./softwareversions.js";
export * from "./storeloadlimiters.js";
export * from "./unservedspans.js";
export * from "./versionadmissions.js";
export * from "./workencodings.js";
