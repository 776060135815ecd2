/** RPC service through which other processes read this process's events. */
import { type ServiceImpl } from "@connectrpc/connect";
import { type TimelineService } from "./gen/winchpath/timeline/v1/timeline_pb.js";
import { type Timeline } from "./timelines.js";

const defaultLimit = 2000;

/** Serves the timeline of one process. Empty fields of a request match all events. */
export function timelineService(timeline: Timeline): ServiceImpl<typeof TimelineService> {
    return {
        listEvents(req) {
            const events = timeline.list({
                requestId: req.requestId || undefined,
                resource: req.resource || undefined,
                host: req.host || undefined,
                limit: req.limit || defaultLimit,
            });
            return { events, dropped: timeline.dropped };
        },
    };
}
