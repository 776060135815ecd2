/** What the connections of the process's own listeners may cost. */
import {
    type ConnectionLimits,
    defaultConnectionLimits,
    type ListenerOptions,
    ListenerWeight,
} from "@winchpath/connections";
import { maxDocumentBytes } from "@winchpath/platform";

/** Requests ahead of callers that send one at a time. */
const fewRequestsAhead = 4;

const limits: ConnectionLimits = {
    ...defaultConnectionLimits,
    requestsAhead: fewRequestsAhead,
    requestTimeoutMs: 30_000,
    unreadTimeoutMs: 10_000,
};

const controlLimits: ConnectionLimits = { ...limits, bodyBytes: maxDocumentBytes };

/** For a listener with a few callers that ask small questions. */
export function smallListener(name: string): ListenerOptions {
    return { name, weight: ListenerWeight.small, limits: () => limits };
}

/** For the listener of operators and upstreams. */
export const controlListener: ListenerOptions = {
    name: "control",
    weight: ListenerWeight.control,
    limits: () => controlLimits,
};
