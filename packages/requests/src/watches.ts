/** Attempts under way, and the ends of those whose agent has lost its lease. */
import { type Registrar } from "@winchpath/upstream";

interface Watched {
    readonly incarnation: string;
    readonly lost: AbortController;
}

export class AttemptWatch {
    private readonly attempts = new Map<string, Set<Watched>>();

    public constructor(private readonly registrar: Registrar) {}

    /** Runs `work` with a signal that is aborted when the upstream's lease or incarnation ends. */
    public async *during<T>(
        upstream: string,
        incarnation: string,
        work: (lost: AbortSignal) => AsyncGenerator<T>,
    ): AsyncGenerator<T> {
        const watched = { incarnation, lost: new AbortController() };
        const same = this.attempts.get(upstream) ?? new Set();
        this.attempts.set(upstream, same.add(watched));
        try {
            yield* work(watched.lost.signal);
        }
        finally {
            same.delete(watched);
        }
    }

    /** The registrar has changed. */
    public check(): void {
        for (const [upstream, watched] of this.attempts) {
            const live = this.registrar.find(upstream);
            for (const each of watched) {
                if (live?.report.incarnation !== each.incarnation) {
                    each.lost.abort();
                }
            }
        }
    }
}
