/** Replicas that fail are left out for a while, and let in again by a single request. */
import { steadyNow } from "@winchpath/core";

const failuresToEject = 3;
const firstEjectionMs = 1000;
/** A probe that has shown nothing by then makes room for another. */
const probeMs = 5000;
const longestEjectionMs = 30_000;
/** Share of a target's replicas that are left in, whatever they do. */
const floorShare = 0.5;

interface Health {
    failures: number;
    ejections: number;
    /** Steady time until which it is left out. */
    until: number;
    /** Steady time until which a request under way may show whether it has recovered; 0 where there is none. */
    probeUntil: number;
}

export class EjectionBook {
    private readonly replicas = new Map<string, Health>();

    public succeeded(upstream: string): void {
        this.replicas.delete(upstream);
    }

    /** Counts a failure; gives true when the replica is left out by it. */
    public failed(upstream: string): boolean {
        const health = this.replicas.get(upstream) ?? { failures: 0, ejections: 0, until: 0, probeUntil: 0 };
        this.replicas.set(upstream, health);
        health.failures += 1;
        const eject = health.probeUntil > 0 || health.failures >= failuresToEject;
        health.probeUntil = 0;
        if (eject) {
            health.failures = 0;
            health.ejections += 1;
            health.until = steadyNow() + Math.min(longestEjectionMs, firstEjectionMs * 2 ** (health.ejections - 1));
        }
        return eject;
    }

    /** Leaves one out at once that refuses connections, or was found gone. */
    public unreachable(upstream: string): void {
        const health = this.replicas.get(upstream);
        this.replicas.set(upstream, {
            failures: failuresToEject - 1,
            ejections: health?.ejections ?? 0,
            until: health?.until ?? 0,
            probeUntil: health?.probeUntil ?? 0,
        });
        this.failed(upstream);
    }

    /** Tells that a request goes to the replica; the first after an ejection is its probe. */
    public sent(upstream: string): void {
        const health = this.replicas.get(upstream);
        if (health !== undefined && health.ejections > 0) {
            health.probeUntil = steadyNow() + probeMs;
        }
    }

    /** The replicas that are not left out; never fewer than the floor. */
    public admitted<R extends { readonly upstream: string; }>(replicas: readonly R[]): R[] {
        const now = steadyNow();
        const good = replicas.filter(({ upstream }) => {
            const health = this.replicas.get(upstream);
            return health === undefined || (health.until <= now && health.probeUntil <= now);
        });
        return good.length >= replicas.length * floorShare ? good : [...replicas];
    }
}
