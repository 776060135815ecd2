/** The placement and routing policies under comparison: winchpath's, and a naive baseline. */
import { Metrics, silentLog, sleep } from "@winchpath/core";
import { FirstFitPlacer, IncrementalPlacer, type Placer } from "@winchpath/placement";
import { QuarantineState } from "@winchpath/quarantine";
import {
    type AgentConnector,
    IdempotencyClaims,
    type Job,
    RequestHandler,
    RequestQuarantine,
} from "@winchpath/requests";
import { RetryBudget } from "@winchpath/retries";
import { RoundRobinPicker, Router } from "@winchpath/routing";
import { Timeline } from "@winchpath/timeline";
import { type Registrar } from "@winchpath/upstream";

/** Request handling of one entry. */
export interface EntryPolicy {
    /** Consumes the response; throws if the request fails. Calls `onFirstByte` when the response starts. */
    handle(job: Job, onFirstByte: () => void): Promise<void>;
    upstreamsChanged(): void;
    /** Returns the demand per model since the last call. */
    readDemand(): { name: string; arrivals: number; running: number; waiting: number; refused: number; }[];
}

export interface Policy {
    readonly name: string;
    readonly placer: Placer;
    newEntry(name: string, agents: AgentConnector, registrar: Registrar): EntryPolicy;
}

const spareRetentionMs = 60_000;
/** Retries that each entry may send beyond a share of its requests, in a window. */
const retrySlots = 100;

function createRetryBudget(): RetryBudget {
    const budget = new RetryBudget(() => ({ ratio: 0.2, slack: retrySlots, windowMs: 10_000 }));
    // The experiment has no leader; each entry keeps its slots.
    budget.applyGrant(retrySlots, Number.POSITIVE_INFINITY);
    return budget;
}

export class WinchpathPolicy implements Policy {
    public readonly name = "winchpath";
    public readonly placer = new IncrementalPlacer(spareRetentionMs);

    public newEntry(name: string, agents: AgentConnector, registrar: Registrar): EntryPolicy {
        const claims = new IdempotencyClaims();
        const crashes = new QuarantineState();
        const handler = new RequestHandler({
            entry: name,
            agents,
            router: new Router(),
            registrar,
            log: { propose: async command => claims.apply(command, { time: Date.now() }) },
            quarantine: new RequestQuarantine({
                book: () => crashes,
                propose: async command => crashes.apply(command, { time: Date.now() }),
                log: silentLog,
                metrics: new Metrics(),
            }),
            timeline: new Timeline({ process: name, host: name, dataCentre: name }, 100),
            metrics: new Metrics(),
            queueLimit: 256,
            retryBudget: createRetryBudget(),
            claimWindowMs: 60_000,
        });
        return {
            handle: async (job, onFirst) => {
                for await (const event of handler.handle(job)) {
                    if (event.tag === "head") {
                        onFirst();
                    }
                }
            },
            upstreamsChanged: () => handler.upstreamsChanged(),
            readDemand: () => handler.meter.read(),
        };
    }
}

const naiveRetryDelayMs = 100;

/** First-fit placement and round-robin routing without admission control; retries until the deadline. */
export class NaivePolicy implements Policy {
    public readonly name: string;
    public readonly placer: Placer;

    /** With `spread`, the placer prefers the emptiest accelerator, which makes the fairer comparison. */
    public constructor(spread: boolean) {
        this.name = spread ? "naive-spread" : "naive";
        this.placer = new FirstFitPlacer(spread);
    }

    public newEntry(_name: string, agents: AgentConnector): EntryPolicy {
        const picker = new RoundRobinPicker();
        const running = new Map<string, number>();
        const count = (name: string, by: number) => running.set(name, (running.get(name) ?? 0) + by);
        const attempt = async (job: Job, signal: AbortSignal, onFirst: () => void): Promise<boolean> => {
            const replicas = job.replicas();
            if (replicas.length === 0) {
                return false;
            }
            const replica = picker.pick(replicas);
            const req = { requestId: job.requestId, body: job.bodyFor(replica.item) };
            for await (const chunk of agents.connect(replica.url).run(req as never, signal)) {
                if (chunk.head !== undefined) {
                    onFirst();
                }
                if (chunk.end !== undefined || chunk.refused !== undefined) {
                    return chunk.end !== undefined;
                }
            }
            return false;
        };
        return {
            handle: async (job, onFirst) => {
                count(job.demandName, 1);
                const timeout = new AbortController();
                const timer = setTimeout(() => timeout.abort(), job.deadline - Date.now());
                try {
                    while (Date.now() < job.deadline) {
                        if (await attempt(job, timeout.signal, onFirst).catch(() => false)) {
                            return;
                        }
                        await sleep(naiveRetryDelayMs);
                    }
                    throw new Error("deadline exceeded");
                }
                finally {
                    clearTimeout(timer);
                    count(job.demandName, -1);
                }
            },
            upstreamsChanged: () => undefined,
            readDemand: () =>
                [...running].map(([name, now]) => ({ name, arrivals: 0, running: now, waiting: 0, refused: 0 })),
        };
    }
}
