/** Upstreams that have said that they leave. */
import { steadyNow } from "@winchpath/core";

/** Upstreams that are remembered; those that said so first give way. */
const mostLeavers = 4096;
/** A leaver is gone well before this time is over, in milliseconds: it serves for some seconds more. */
const rememberedMs = 600_000;

/**
 * By incarnation. Leaving is final: nothing that is heard later of the same incarnation takes it back, since it was
 * said before, or by somebody who hasn't heard of it.
 */
export class LeaverBook {
    /** Steady time of the first word of each. */
    private readonly since = new Map<string, number>();

    /** An upstream leaves; whether that is new. */
    public add(upstream: string): boolean {
        if (this.since.has(upstream)) {
            return false;
        }
        this.forgetOld();
        this.since.set(upstream, steadyNow());
        return true;
    }

    public has(upstream: string): boolean {
        return this.since.has(upstream);
    }

    /** Steady time of the first word; undefined where none came. */
    public sinceOf(upstream: string): number | undefined {
        return this.since.get(upstream);
    }

    /** Those that said so within a time, in milliseconds. */
    public recent(withinMs: number): string[] {
        const from = steadyNow() - withinMs;
        return [...this.since].filter(([, at]) => at >= from).map(([upstream]) => upstream);
    }

    private forgetOld(): void {
        const now = steadyNow();
        for (const [upstream, at] of this.since) {
            if (now - at <= rememberedMs && this.since.size < mostLeavers) {
                return;
            }
            this.since.delete(upstream);
        }
    }
}
