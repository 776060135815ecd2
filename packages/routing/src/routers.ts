/** Selects a replica for each request, based on load, ejections and reported availability. */
import { AvailabilityTracker, excludeBackingOff } from "@winchpath/availability";
import { EjectionTracker } from "./ejections.js";
import { LoadTracker } from "./loadtrackers.js";
import { LoadAwarePicker, type PickContext, type Picker } from "./pickers.js";
import { type RoutedReplica } from "./replicas.js";

/** Utilization at which a replica is full and further requests are queued at the entry. */
const fullUtilization = 1;

/** Result of a routing decision. */
export type Route =
    | { readonly tag: "replica"; readonly replica: RoutedReplica; }
    /** All replicas are at capacity. */
    | { readonly tag: "full"; }
    /** All replicas are backing off; `until` is the monotonic time at which the first backoff ends. */
    | { readonly tag: "resting"; readonly until: number; }
    /** No replica is ready. */
    | { readonly tag: "none"; };

/** Replicas that failed a request, with the sequence number of their latest report at that time. */
export type AttemptedReplicas = ReadonlyMap<string, bigint>;

export class Router {
    public readonly loads = new LoadTracker();
    public readonly ejections = new EjectionTracker();
    /** Availability reported by agents, by upstream incarnation. */
    public readonly availability = new AvailabilityTracker();
    private readonly picker: Picker;

    public constructor(picker?: Picker) {
        this.picker = picker ?? new LoadAwarePicker(this.loads);
    }

    /** Selects one of `replicas`, excluding those that failed the request and have not reported since. */
    public route(
        replicas: readonly RoutedReplica[],
        attemptedReplicas: AttemptedReplicas,
        context: PickContext,
    ): Route {
        const untried = replicas.filter(({ upstream, sequence }) => sequence !== attemptedReplicas.get(upstream));
        if (untried.length === 0) {
            return { tag: "none" };
        }
        const notDraining = untried.filter(({ incarnation }) => !this.availability.isDraining(incarnation));
        if (notDraining.length === 0) {
            return { tag: "none" };
        }
        const { usable: notBackingOff, until } = excludeBackingOff(
            this.availability,
            notDraining,
            ({ incarnation }) => incarnation,
        );
        if (notBackingOff.length === 0) {
            return { tag: "resting", until };
        }
        const notEjected = this.ejections.withoutEjected(notBackingOff);
        if (notEjected.length === 0) {
            return { tag: "none" };
        }
        const underCapacity = notEjected.filter(replica =>
            this.loads.estimate(replica) < replica.capacity * fullUtilization
        );
        if (underCapacity.length === 0) {
            return { tag: "full" };
        }
        return { tag: "replica", replica: this.picker.pick(underCapacity, context) };
    }
}
