export {
    type Event,
    EventSchema,
    type ListEventsResponse,
    TimelineService,
} from "./gen/winchpath/timeline/v1/timeline_pb.js";
export * from "./renderers.js";
export * from "./services.js";
export * from "./timelines.js";
