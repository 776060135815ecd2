/** Aborts running attempts whose agent has lost its lease. */
import { type Registrar } from "@winchpath/upstream";

interface MonitoredAttempt {
    readonly incarnation: string;
    readonly leaseLost: AbortController;
}

export class AttemptMonitor {
    private readonly attempts = new Map<string, Set<MonitoredAttempt>>();

    public constructor(private readonly registrar: Registrar) {}

    /** Runs `work` with a signal that is aborted when the upstream's lease or incarnation ends. */
    public async *run<T>(
        upstream: string,
        incarnation: string,
        work: (leaseLost: AbortSignal) => AsyncGenerator<T>,
    ): AsyncGenerator<T> {
        const attempt = { incarnation, leaseLost: new AbortController() };
        const attempts = this.attempts.get(upstream) ?? new Set();
        this.attempts.set(upstream, attempts.add(attempt));
        try {
            yield* work(attempt.leaseLost.signal);
        }
        finally {
            attempts.delete(attempt);
        }
    }

    /** Call when the registrar has changed. */
    public abortLostAttempts(): void {
        for (const [upstream, attempts] of this.attempts) {
            const live = this.registrar.find(upstream);
            for (const attempt of attempts) {
                if (live?.report.incarnation !== attempt.incarnation) {
                    attempt.leaseLost.abort();
                }
            }
        }
    }
}
