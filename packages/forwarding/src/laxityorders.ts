/** Orders waiting requests by priority, then streams that go on before new ones, then by how soon they have to be sent. */
import { type InboundRequest } from "./inboundrequests.js";
import { type LoadWaitPolicy } from "./loadwaitpolicies.js";
import { PriorityOrder, type WaitOrder } from "./waitqueues.js";

/** Order of requests that are rejected early instead of waiting: before the others, by arrival. */
const earlyKey = 0;

export class LaxityOrder implements WaitOrder<InboundRequest> {
    private readonly priorities = new PriorityOrder();
    /** Computed once for each request, since insertions into a queue compare it with many others. */
    private readonly keys = new WeakMap<InboundRequest, number>();

    public constructor(private readonly loadWaits: Pick<LoadWaitPolicy, "appliesTo" | "workMs">) {}

    public compare(a: InboundRequest, b: InboundRequest): number {
        return this.priorities.compare(a, b) || Number(isBound(b)) - Number(isBound(a))
            || this.keyOf(a) - this.keyOf(b);
    }

    /** Monotonic time by which the request has to be sent to be answered by its deadline. */
    private keyOf(request: InboundRequest): number {
        let key = this.keys.get(request);
        if (key === undefined) {
            key = this.loadWaits.appliesTo(request)
                ? Math.max(earlyKey + 1, request.deadlineAt - this.loadWaits.workMs(request))
                : earlyKey;
            this.keys.set(request, key);
        }
        return key;
    }
}

/** Whether the request goes on with a stream, for which fewer upstreams are left than for a new one. */
function isBound({ softwareVersion }: InboundRequest): boolean {
    return softwareVersion !== undefined;
}
