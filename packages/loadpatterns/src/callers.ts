/** Callers of a simulated fleet: they ask, come back once after a refusal, and count what they got. */
import { noCharge } from "@winchpath/accounts";
import { sleep } from "@winchpath/core";
import { type Route } from "@winchpath/declarations";
import { type InboundRequest } from "@winchpath/forwarding";
import { type Draws } from "./draws.js";
import { type CallerEnd, type SimulatedEntry } from "./entries.js";

/** A caller honours Retry-After up to this share of the time that it has left. */
const longestReturnShare = 1 / 3;

const served = 200;
const notRun = 503;
const nothing = Buffer.alloc(0);

/** What one caller asks for. */
export interface Ask {
    readonly route: Route;
    readonly service: string;
    readonly model: string;
    readonly adapter: string;
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/** What callers got, in requests; a caller that came back counts once, from its first try. */
export class Tally {
    public asked = 0;
    public inTime = 0;
    public late = 0;
    public refused = 0;
    public failed = 0;

    /** Share that was answered within the objective. */
    public get inTimeShare(): number {
        return this.inTime / Math.max(1, this.asked);
    }

    /** Share that got no whole answer. */
    public get lostShare(): number {
        return (this.refused + this.failed) / Math.max(1, this.asked);
    }
}

export class Callers {
    private number = 0;
    private ended = false;

    public constructor(
        private readonly entries: readonly SimulatedEntry[],
        private readonly draws: Draws,
        private readonly tally: Tally,
    ) {}

    public end(): void {
        this.ended = true;
    }

    /** Asks by chance, `rate()` times a second; a rate of 0 is asked for again after a while. */
    public async ask(rate: () => number, next: () => Ask): Promise<void> {
        const idleMs = 50;
        while (!this.ended) {
            const perSecond = rate();
            await sleep(perSecond > 0 ? this.draws.gapMs(perSecond) : idleMs);
            if (!this.ended && perSecond > 0) {
                void this.one(next());
            }
        }
    }

    private async one(ask: Ask): Promise<void> {
        const startedAt = Date.now();
        const deadlineAt = startedAt + ask.route.timeoutMs;
        this.tally.asked += 1;
        let end = await this.entry().serve(this.job(ask, deadlineAt));
        const leftMs = deadlineAt - Date.now();
        if (end.status !== served && end.retryAfterMs !== undefined && leftMs > 0) {
            await sleep(Math.min(end.retryAfterMs, leftMs * longestReturnShare));
            end = await this.entry().serve(this.job(ask, deadlineAt));
        }
        this.count(end, startedAt, ask.route.objectiveMs);
    }

    private count(end: CallerEnd, startedAt: number, objectiveMs: number): void {
        if (end.status === notRun) {
            this.tally.refused += 1;
        }
        else if (end.status !== served || end.firstAt === undefined) {
            this.tally.failed += 1;
        }
        else if (end.firstAt - startedAt <= objectiveMs) {
            this.tally.inTime += 1;
        }
        else {
            this.tally.late += 1;
        }
    }

    private entry(): SimulatedEntry {
        return this.entries[this.draws.index(this.entries.length)];
    }

    private job(ask: Ask, deadlineAt: number): InboundRequest {
        this.number += 1;
        const id = `q${this.number}`;
        return {
            id,
            method: "POST",
            host: "",
            url: "/",
            headers: [],
            body: nothing,
            metadata: {
                id,
                apiKey: undefined,
                limitTokens: undefined,
                deadlineMs: deadlineAt - Date.now(),
                model: ask.model,
                adapter: ask.adapter,
                promptTokens: ask.promptTokens,
                maxOutputTokens: ask.outputTokens,
                expectedOutputTokens: ask.outputTokens,
                promptParts: [{ id, tokens: ask.promptTokens }],
                resumeFrom: undefined,
            },
            route: ask.route,
            service: ask.service,
            startedAt: Date.now(),
            priority: ask.route.priority,
            grant: undefined,
            charge: noCharge,
            deadlineAt,
            abortSignal: new AbortController().signal,
            attemptedUpstreams: [],
            declinedUpstreams: new Set(),
            lostConnections: 0,
            lastEventId: undefined,
            responseStarted: false,
        };
    }
}
