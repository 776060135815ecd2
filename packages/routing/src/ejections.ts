/** Outlier ejection: failing replicas are excluded for a while and readmitted by a single probe request. */
import { steadyNow } from "@winchpath/core";

const failuresToEject = 3;
const baseEjectionMs = 1000;
/** A probe without a result after this time no longer blocks the next one. */
const probeTimeoutMs = 5000;
const maxEjectionMs = 30_000;
/**
 * Upper bound of the ejection of an unreachable replica. Its probe fails within a round trip and costs no execution,
 * and nothing else tells that a process listens again at the same address.
 */
const maxUnreachableMs = 4000;
/** If less than this share of the reachable replicas would remain, failing ones are not ejected. */
const minAvailableShare = 0.5;
/**
 * Replicas without an event for this long are forgotten, in milliseconds: most of them no longer exist. Much longer than
 * any ejection, so that one that keeps failing is still ejected for longer each time.
 */
const retentionMs = 600_000;

/** Minimum time between two searches for replicas to forget, in milliseconds; each visits all of them. */
const expiryIntervalMs = 60_000;

interface ReplicaHealth {
    failures: number;
    ejections: number;
    /** Monotonic time at which the ejection ends. */
    ejectedUntil: number;
    /** Monotonic time until which a probe request is pending; 0 if there is none. */
    probeUntil: number;
    /** Whether the last attempt could not connect. */
    isUnreachable: boolean;
    /** Monotonic time of the last failure or request. */
    usedAt: number;
}

export class EjectionTracker {
    private readonly replicas = new Map<string, ReplicaHealth>();
    private expiredAt = steadyNow();

    /** Number of replicas with a failure that is remembered. */
    public get size(): number {
        return this.replicas.size;
    }

    public succeeded(upstream: string): void {
        this.replicas.delete(upstream);
    }

    /** Records a failure; returns whether it ejected the replica. */
    public failed(upstream: string): boolean {
        const health = this.healthOf(upstream);
        health.isUnreachable = false;
        health.failures += 1;
        const eject = health.probeUntil > 0 || health.failures >= failuresToEject;
        health.probeUntil = 0;
        if (eject) {
            extendEjection(health, maxEjectionMs);
        }
        return eject;
    }

    /**
     * Ejects a replica at once that refuses connections or no longer exists. Requests that were sent to it at the same
     * time count as one failure.
     */
    public unreachable(upstream: string): void {
        const health = this.healthOf(upstream);
        const isKnown = health.isUnreachable && health.ejectedUntil > steadyNow();
        health.isUnreachable = true;
        health.probeUntil = 0;
        if (!isKnown) {
            extendEjection(health, maxUnreachableMs);
        }
    }

    /** Records a response of any kind: the replica can be reached. */
    public responded(upstream: string): void {
        const health = this.replicas.get(upstream);
        if (health?.isUnreachable === true) {
            this.replicas.delete(upstream);
        }
    }

    /** Records a request that ended without a result; an unreachable replica may be probed by the next one. */
    public unresolved(upstream: string): void {
        const health = this.replicas.get(upstream);
        if (health?.isUnreachable === true) {
            health.probeUntil = 0;
        }
    }

    /** Records a request to the replica; the first one after an ejection is its probe. */
    public sent(upstream: string): void {
        const health = this.replicas.get(upstream);
        if (health !== undefined && health.ejections > 0) {
            health.usedAt = steadyNow();
            health.probeUntil = health.usedAt + probeTimeoutMs;
        }
    }

    /** Returns the replicas except unreachable ones that are ejected or being probed, even if none remain. */
    public withoutUnreachable<R extends { readonly upstream: string; }>(replicas: readonly R[]): R[] {
        const now = steadyNow();
        return replicas.filter(({ upstream }) => {
            const health = this.replicas.get(upstream);
            return health === undefined || !health.isUnreachable || isAdmitted(health, now);
        });
    }

    /**
     * Returns the replicas that are not ejected. If too few would remain, it returns all reachable ones: a replica that
     * fails some requests may serve others, one that can't be reached serves none.
     */
    public withoutEjected<R extends { readonly upstream: string; }>(replicas: readonly R[]): R[] {
        const now = steadyNow();
        const reachable = this.withoutUnreachable(replicas);
        const healthy = reachable.filter(({ upstream }) => {
            const health = this.replicas.get(upstream);
            return health === undefined || isAdmitted(health, now);
        });
        return healthy.length >= reachable.length * minAvailableShare ? healthy : reachable;
    }

    private healthOf(upstream: string): ReplicaHealth {
        const now = steadyNow();
        let health = this.replicas.get(upstream);
        if (health === undefined) {
            this.deleteExpired(now);
            health = newHealth(now);
            this.replicas.set(upstream, health);
        }
        health.usedAt = now;
        return health;
    }

    private deleteExpired(now: number): void {
        if (now - this.expiredAt < expiryIntervalMs) {
            return;
        }
        this.expiredAt = now;
        for (const [upstream, { usedAt }] of this.replicas) {
            if (now - usedAt > retentionMs) {
                this.replicas.delete(upstream);
            }
        }
    }
}

function newHealth(usedAt: number): ReplicaHealth {
    return { failures: 0, ejections: 0, ejectedUntil: 0, probeUntil: 0, isUnreachable: false, usedAt };
}

function isAdmitted({ ejectedUntil, probeUntil }: ReplicaHealth, now: number): boolean {
    return ejectedUntil <= now && probeUntil <= now;
}

function extendEjection(health: ReplicaHealth, maxMs: number): void {
    health.failures = 0;
    health.ejections += 1;
    health.ejectedUntil = steadyNow() + Math.min(maxMs, baseEjectionMs * 2 ** (health.ejections - 1));
}
