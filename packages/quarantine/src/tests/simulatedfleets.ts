/** Simulates a fleet whose upstreams crash under certain requests or independently of requests. */
import { mock } from "node:test";
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { QuarantineState, RecentSuccesses, type Suspect } from "../index.js";

export const upstreamCount = 8;
/** Time from the start of a crashing request to the crash, in milliseconds. */
const crashDelayMs = 50;

interface Run {
    readonly request: string;
    readonly sentAt: number;
    readonly endsAt: number;
}

/** Random numbers in [0, 1) from a seed. */
export function seededRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    const resolution = 2 ** 30;
    return () => unsafeUniformIntDistribution(0, resolution - 1, generator) / resolution;
}

export class Fleet {
    public readonly state = new QuarantineState();
    public readonly refused = new Map<string, number>();
    /** Number of crashes by crashing request. */
    public readonly crashes = new Map<string, number>();
    private readonly successful = new RecentSuccesses();
    private readonly runs = new Map<number, Run[]>(Array.from({ length: upstreamCount }, (_, at) => [at, []]));
    private incarnations = 0;
    private now = 0;

    /** `shortestMs`, `longestMs`: duration of harmless requests. */
    public constructor(
        private readonly random: () => number,
        private readonly crashing: ReadonlySet<string>,
        private readonly shortestMs = 100,
        private readonly longestMs = 1600,
    ) {}

    public step(now: number): void {
        this.now = now;
        mock.timers.setTime(now);
        for (const [at, runs] of this.runs) {
            this.completeRuns(at, runs);
        }
    }

    public send(request: string): void {
        if (this.state.find(request)?.standing === "barred") {
            this.refused.set(request, (this.refused.get(request) ?? 0) + 1);
            return;
        }
        const at = Math.floor(this.random() * upstreamCount);
        const endsAt = this.now + (this.crashing.has(request) ? crashDelayMs : this.harmlessMs());
        this.runs.get(at)!.push({ request, sentAt: this.now, endsAt });
    }

    private harmlessMs(): number {
        return this.shortestMs + this.random() * (this.longestMs - this.shortestMs);
    }

    /** `agoMs`: time since the crash. */
    public crash(at: number, agoMs = 0): void {
        const suspects = this.runs.get(at)!
            .filter(({ request, sentAt }) => !this.successful.has(request) && sentAt <= this.now - agoMs)
            .map(({ request, sentAt }): Suspect => ({ fingerprint: request, size: 1, sentAgoMs: this.now - sentAt }));
        this.runs.set(at, []);
        this.incarnations += 1;
        const command = { kind: "upstream-ended", upstream: `u${this.incarnations}`, agoMs, suspects };
        this.state.apply(command, { time: this.now });
    }

    private completeRuns(at: number, runs: readonly Run[]): void {
        const fatal = runs.find(({ request, endsAt }) => this.crashing.has(request) && endsAt <= this.now);
        if (fatal !== undefined) {
            this.crashes.set(fatal.request, (this.crashes.get(fatal.request) ?? 0) + 1);
            this.crash(at);
            return;
        }
        runs.filter(({ endsAt }) => endsAt <= this.now).forEach(({ request }) => this.recordSuccess(request));
        this.runs.set(at, runs.filter(({ endsAt }) => endsAt > this.now));
    }

    private recordSuccess(request: string): void {
        this.successful.record(request);
        if (this.state.find(request) !== undefined) {
            this.state.apply({ kind: "cleared", fingerprints: [request] }, { time: this.now });
        }
    }
}
