/** Generates requests to a simulated fleet, retries a refused request once, and counts the outcomes. */
import { noCharge } from "@winchpath/accounts";
import { sleep } from "@winchpath/core";
import { type Route } from "@winchpath/declarations";
import { type InboundRequest, type PromptPart } from "@winchpath/forwarding";
import { type CallerResult, type SimulatedEntry } from "./entries.js";
import { type SeededRandom } from "./seededrandoms.js";

/** Upper bound of the delay before a retry, as a fraction of the time left until the deadline. */
const maxRetryDelayRatio = 1 / 3;

const statusOk = 200;
const statusUnavailable = 503;
const emptyBody = Buffer.alloc(0);

/** The properties of a generated request. */
export interface RequestSpec {
    readonly route: Route;
    readonly service: string;
    readonly model: string;
    readonly adapter: string;
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Parts of the prompt; by default it is not shared. */
    readonly promptParts?: readonly PromptPart[];
}

/** The outcome of one request. */
export interface RequestOutcome {
    readonly route: string;
    /** Time of the first attempt. */
    readonly startedAt: number;
    readonly served: boolean;
    readonly inTime: boolean;
}

/** Counts requests by outcome. A retried request counts once, and its latency includes the first attempt. */
export class OutcomeCounts {
    public total = 0;
    public withinObjective = 0;
    public overObjective = 0;
    public refused = 0;
    public failed = 0;
    /** Streams of {@link withinObjective} and {@link overObjective} with a gap that their route does not allow. */
    public gapped = 0;
    /** Requests and those served in time, by route: first event within the objective and no gap that is not allowed. */
    public readonly byRoute = new Map<string, { total: number; inTime: number; gapped: number; }>();

    public recordStream(route: string, inTime: boolean, isGapped: boolean): void {
        const counts = this.byRoute.get(route) ?? { total: 0, inTime: 0, gapped: 0 };
        this.byRoute.set(route, counts);
        counts.total += 1;
        counts.inTime += inTime && !isGapped ? 1 : 0;
        counts.gapped += isGapped ? 1 : 0;
        this.gapped += isGapped ? 1 : 0;
    }
    /** All outcomes in the order of their ends. */
    public readonly requests: RequestOutcome[] = [];

    /** Fraction of requests whose first event arrived within the route's objective. */
    public get withinObjectiveRatio(): number {
        return this.withinObjective / Math.max(1, this.total);
    }

    /** Fraction of requests that were refused or failed. */
    public get unservedRatio(): number {
        return (this.refused + this.failed) / Math.max(1, this.total);
    }
}

export class LoadGenerator {
    private requestCount = 0;
    private isStopped = false;

    public constructor(
        private readonly entries: readonly SimulatedEntry[],
        private readonly random: SeededRandom,
        private readonly outcomes: OutcomeCounts,
    ) {}

    public stop(): void {
        this.isStopped = true;
    }

    /** Sends requests as a Poisson process with `rate()` requests per second; a rate of 0 is polled until it changes. */
    public async generate(rate: () => number, nextRequest: () => RequestSpec): Promise<void> {
        const idlePollMs = 50;
        while (!this.isStopped) {
            const perSecond = rate();
            await sleep(perSecond > 0 ? this.random.exponentialDelayMs(perSecond) : idlePollMs);
            if (!this.isStopped && perSecond > 0) {
                void this.sendWithRetry(nextRequest());
            }
        }
    }

    private async sendWithRetry(request: RequestSpec): Promise<void> {
        const startedAt = Date.now();
        const deadlineAt = startedAt + request.route.timeoutMs;
        this.outcomes.total += 1;
        let result = await this.pickEntry().serve(this.createJob(request, deadlineAt));
        const leftMs = deadlineAt - Date.now();
        if (result.status !== statusOk && result.retryAfterMs !== undefined && leftMs > 0) {
            await sleep(Math.min(result.retryAfterMs, leftMs * maxRetryDelayRatio));
            result = await this.pickEntry().serve(this.createJob(request, deadlineAt));
        }
        this.recordOutcome(result, startedAt, request.route);
    }

    private recordOutcome(result: CallerResult, startedAt: number, { name, objectiveMs, pauseMs }: Route): void {
        const { status, firstEventAt, longestGapMs } = result;
        const served = status === statusOk && firstEventAt !== undefined;
        const inTime = served && firstEventAt - startedAt <= objectiveMs;
        this.outcomes.recordStream(name, inTime, pauseMs > 0 && longestGapMs > pauseMs);
        this.outcomes.requests.push({ route: name, startedAt, served, inTime });
        if (result.status === statusUnavailable) {
            this.outcomes.refused += 1;
        }
        else if (!served) {
            this.outcomes.failed += 1;
        }
        else if (inTime) {
            this.outcomes.withinObjective += 1;
        }
        else {
            this.outcomes.overObjective += 1;
        }
    }

    private pickEntry(): SimulatedEntry {
        return this.entries[this.random.integerBelow(this.entries.length)];
    }

    private createJob(request: RequestSpec, deadlineAt: number): InboundRequest {
        this.requestCount += 1;
        const id = `q${this.requestCount}`;
        return {
            id,
            method: "POST",
            host: "",
            url: "/",
            headers: [],
            body: emptyBody,
            metadata: {
                id,
                apiKey: undefined,
                limitTokens: undefined,
                deadlineMs: deadlineAt - Date.now(),
                model: request.model,
                adapter: request.adapter,
                promptTokens: request.promptTokens,
                maxOutputTokens: request.outputTokens,
                expectedOutputTokens: request.outputTokens,
                promptParts: request.promptParts ?? [{ id, tokens: request.promptTokens }],
                resumeFrom: undefined,
                resumedId: undefined,
            },
            route: request.route,
            service: request.service,
            startedAt: Date.now(),
            priority: request.route.priority,
            grant: undefined,
            charge: noCharge,
            deadlineAt,
            abortSignal: new AbortController().signal,
            decidedByVersion: 1,
            confirmedAgeMs: 0,
            attemptedUpstreams: [],
            declinedUpstreams: new Set(),
            lostConnections: 0,
            lastEventId: undefined,
            responseStarted: false,
        };
    }
}
