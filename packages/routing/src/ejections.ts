/** Outlier ejection: failing replicas are excluded for a while and readmitted by a single probe request. */
import { steadyNow } from "@winchpath/core";

const failuresToEject = 3;
const baseEjectionMs = 1000;
/** A probe without a result after this time no longer blocks the next one. */
const probeTimeoutMs = 5000;
const maxEjectionMs = 30_000;
/** If less than this share of the replicas would remain, none are ejected. */
const minAvailableShare = 0.5;

interface ReplicaHealth {
    failures: number;
    ejections: number;
    /** Monotonic time at which the ejection ends. */
    ejectedUntil: number;
    /** Monotonic time until which a probe request is pending; 0 if there is none. */
    probeUntil: number;
}

export class EjectionTracker {
    private readonly replicas = new Map<string, ReplicaHealth>();

    public succeeded(upstream: string): void {
        this.replicas.delete(upstream);
    }

    /** Records a failure; returns whether it ejected the replica. */
    public failed(upstream: string): boolean {
        const health = this.replicas.get(upstream) ?? { failures: 0, ejections: 0, ejectedUntil: 0, probeUntil: 0 };
        this.replicas.set(upstream, health);
        health.failures += 1;
        const eject = health.probeUntil > 0 || health.failures >= failuresToEject;
        health.probeUntil = 0;
        if (eject) {
            health.failures = 0;
            health.ejections += 1;
            health.ejectedUntil = steadyNow() + Math.min(maxEjectionMs, baseEjectionMs * 2 ** (health.ejections - 1));
        }
        return eject;
    }

    /** Ejects a replica at once that refuses connections or no longer exists. */
    public unreachable(upstream: string): void {
        const health = this.replicas.get(upstream);
        this.replicas.set(upstream, {
            failures: failuresToEject - 1,
            ejections: health?.ejections ?? 0,
            ejectedUntil: health?.ejectedUntil ?? 0,
            probeUntil: health?.probeUntil ?? 0,
        });
        this.failed(upstream);
    }

    /** Records a request to the replica; the first one after an ejection is its probe. */
    public sent(upstream: string): void {
        const health = this.replicas.get(upstream);
        if (health !== undefined && health.ejections > 0) {
            health.probeUntil = steadyNow() + probeTimeoutMs;
        }
    }

    /** Returns the replicas that are not ejected, or all of them if too few would remain. */
    public withoutEjected<R extends { readonly upstream: string; }>(replicas: readonly R[]): R[] {
        const now = steadyNow();
        const healthy = replicas.filter(({ upstream }) => {
            const health = this.replicas.get(upstream);
            return health === undefined || (health.ejectedUntil <= now && health.probeUntil <= now);
        });
        return healthy.length >= replicas.length * minAvailableShare ? healthy : [...replicas];
    }
}
