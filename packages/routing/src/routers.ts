/** Chooses a replica for each request, and learns from what comes of it. */
import { AvailabilityTracker, excludeBackingOff } from "@winchpath/availability";
import { EjectionBook } from "./ejections.js";
import { LoadBook } from "./loads.js";
import { LoadAwarePicker, type PickContext, type Picker } from "./pickers.js";
import { type RoutedReplica } from "./replicas.js";

/** Requests at a replica, in multiples of its capacity, from which on others wait at the entry. */
const fullUse = 1;

/** What can be said of where a request could go. */
export type Route =
    | { readonly tag: "replica"; readonly replica: RoutedReplica; }
    /** There are replicas, but all have enough to do. */
    | { readonly tag: "full"; }
    /** There are replicas, but all have asked this entry for rest; `until`: steady time of the first end. */
    | { readonly tag: "resting"; readonly until: number; }
    /** No replica is ready. */
    | { readonly tag: "none"; };

/** Replicas that failed a request, with the number of the newest report that was known then. */
export type Tried = ReadonlyMap<string, bigint>;

export class Router {
    public readonly loads = new LoadBook();
    public readonly ejections = new EjectionBook();
    /** What agents have said of the upstreams beside them, by incarnation. */
    public readonly availability = new AvailabilityTracker();
    private readonly picker: Picker;

    public constructor(picker?: Picker) {
        this.picker = picker ?? new LoadAwarePicker(this.loads);
    }

    /** Chooses among `replicas`, without those that failed the request and were not heard since. */
    public route(replicas: readonly RoutedReplica[], tried: Tried, context: PickContext): Route {
        const untried = replicas.filter(({ upstream, sequence }) => sequence !== tried.get(upstream));
        if (untried.length === 0) {
            return { tag: "none" };
        }
        const staying = untried.filter(({ incarnation }) => !this.availability.isDraining(incarnation));
        if (staying.length === 0) {
            return { tag: "none" };
        }
        const { usable: awake, until } = excludeBackingOff(
            this.availability,
            staying,
            ({ incarnation }) => incarnation,
        );
        if (awake.length === 0) {
            return { tag: "resting", until };
        }
        const admitted = this.ejections.admitted(awake);
        const open = admitted.filter(replica => this.loads.estimate(replica) < replica.capacity * fullUse);
        if (open.length === 0) {
            return { tag: "full" };
        }
        return { tag: "replica", replica: this.picker.pick(open, context) };
    }
}
