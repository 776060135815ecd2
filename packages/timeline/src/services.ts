/** The RPC by which others read this process's events. */
import { type ServiceImpl } from "@connectrpc/connect";
import { type TimelineService } from "./gen/winchpath/timeline/v1/timeline_pb.js";
import { type Timeline } from "./timelines.js";

const defaultLimit = 2000;

/** Serves the ring of one process. Empty fields of the request match all. */
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
