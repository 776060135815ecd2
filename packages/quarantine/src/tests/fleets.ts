/** A fleet in memory whose upstreams end under guilty requests, or for reasons of their own. */
import { mock } from "node:test";
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { CrashBook, GoodEnds, type Suspect } from "../index.js";

export const upstreams = 8;
/** A guilty request ends its upstream after this long, in milliseconds. */
const fuseMs = 50;

interface Run {
    readonly request: string;
    readonly sentAt: number;
    readonly endsAt: number;
}

/** Numbers from 0 to 1, without 1, that follow from a seed. */
export function drawsOf(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    const fineness = 2 ** 30;
    return () => unsafeUniformIntDistribution(0, fineness - 1, generator) / fineness;
}

export class Fleet {
    public readonly book = new CrashBook();
    public readonly refused = new Map<string, number>();
    /** Upstreams that ended under each guilty request. */
    public readonly lost = new Map<string, number>();
    private readonly good = new GoodEnds();
    private readonly runs = new Map<number, Run[]>(Array.from({ length: upstreams }, (_, at) => [at, []]));
    private incarnations = 0;
    private now = 0;

    /** `shortestMs`, `longestMs`: how long an innocent request runs. */
    public constructor(
        private readonly draw: () => number,
        private readonly guilty: ReadonlySet<string>,
        private readonly shortestMs = 100,
        private readonly longestMs = 1600,
    ) {}

    public step(now: number): void {
        this.now = now;
        mock.timers.setTime(now);
        for (const [at, runs] of this.runs) {
            this.settle(at, runs);
        }
    }

    public send(request: string): void {
        if (this.book.standingOf(request)?.standing === "barred") {
            this.refused.set(request, (this.refused.get(request) ?? 0) + 1);
            return;
        }
        const at = Math.floor(this.draw() * upstreams);
        const endsAt = this.now + (this.guilty.has(request) ? fuseMs : this.innocentMs());
        this.runs.get(at)!.push({ request, sentAt: this.now, endsAt });
    }

    private innocentMs(): number {
        return this.shortestMs + this.draw() * (this.longestMs - this.shortestMs);
    }

    /** `agoMs`: how long before now it ended. */
    public crash(at: number, agoMs = 0): void {
        const suspects = this.runs.get(at)!
            .filter(({ request, sentAt }) => !this.good.has(request) && sentAt <= this.now - agoMs)
            .map(({ request, sentAt }): Suspect => ({ fingerprint: request, size: 1, sentAgoMs: this.now - sentAt }));
        this.runs.set(at, []);
        this.incarnations += 1;
        const command = { kind: "upstream-ended", upstream: `u${this.incarnations}`, agoMs, suspects };
        this.book.apply(command, { time: this.now });
    }

    private settle(at: number, runs: readonly Run[]): void {
        const killer = runs.find(({ request, endsAt }) => this.guilty.has(request) && endsAt <= this.now);
        if (killer !== undefined) {
            this.lost.set(killer.request, (this.lost.get(killer.request) ?? 0) + 1);
            this.crash(at);
            return;
        }
        runs.filter(({ endsAt }) => endsAt <= this.now).forEach(({ request }) => this.endWell(request));
        this.runs.set(at, runs.filter(({ endsAt }) => endsAt > this.now));
    }

    private endWell(request: string): void {
        this.good.note(request);
        if (this.book.standingOf(request) !== undefined) {
            this.book.apply({ kind: "cleared", fingerprints: [request] }, { time: this.now });
        }
    }
}
