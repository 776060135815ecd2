/** Conversions of the work of client accounts between messages and the types of `@winchpath/accounts`. */
import { type WorkCounts } from "@winchpath/accounts";
import { type AccountWork } from "./gen/winchpath/fleet/v1/fleet_pb.js";

export function encodeWork(counts: WorkCounts) {
    const { served, asked, backlog } = counts;
    return {
        ...counts,
        served: BigInt(Math.round(served)),
        asked: BigInt(Math.round(asked)),
        backlog: BigInt(Math.round(backlog)),
    };
}

export function decodeWork(work: AccountWork): WorkCounts {
    const { service, account, waiting, level, served, asked, backlog } = work;
    return {
        service,
        account,
        waiting,
        level,
        served: Number(served),
        asked: Number(asked),
        backlog: Number(backlog),
    };
}
