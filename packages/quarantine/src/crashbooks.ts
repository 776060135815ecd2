/** The replicated part of the quarantine: which requests are suspected, and which are held back. */
import { Notifier } from "@winchpath/core";
import Type, { type Static } from "typebox";
import Value from "typebox/value";
import { type QuarantineCommand, QuarantineCommand as Command, type UpstreamEnded } from "./commands.js";
import { type ListedRequest, type QuarantineChanges, StandingLog } from "./standings.js";
import { type Cause, StoredEnd, Suspicions } from "./suspicions.js";

/** An end counts against what ran there for this long, in milliseconds: callers come back within minutes. */
const suspectedMs = 600_000;
/**
 * A request is held back for this long at first, in milliseconds, and twice as long each time after. Then it is let
 * in on probation: one more end holds it back again, so that one that is held back wrongly isn't for ever.
 */
const firstBarredMs = 600_000;
const longestBarredMs = 24 * 3_600_000;
/** Probation ends after this long without another end, in milliseconds. */
const probationMs = 3_600_000;
/** Requests that are held back or on probation at once; the oldest give way. Each has cost three upstreams. */
const mostHeld = 2000;
/** Entries are told of a suspect from this many occasions on: one more, or a good end, decides. */
const occasionsToList = 2;

const BarredRequest = Type.Object({
    fingerprint: Type.String(),
    size: Type.Integer(),
    occasions: Type.Integer(),
    /** Until when it is held back; milliseconds since the epoch, by the leader's clock. */
    until: Type.Number(),
    /** How often it was held back. */
    times: Type.Integer(),
});
type BarredRequest = Static<typeof BarredRequest>;

const StoredState = Type.Object({
    key: Type.Optional(Type.String()),
    position: Type.Optional(Type.Integer()),
    barred: Type.Optional(Type.Array(BarredRequest)),
    probation: Type.Optional(Type.Array(BarredRequest)),
    ends: Type.Optional(Type.Array(StoredEnd)),
});

/** What a command has done, for the log of the process that proposed it. */
export interface QuarantineResult {
    readonly barred: readonly Cause[];
    /** Held back before, and let in since other upstreams turn out to have ended at the same moments. */
    readonly lifted: readonly string[];
}

const nothingDone: QuarantineResult = { barred: [], lifted: [] };

/** A slice of the replicated state; a command that it can't read changes nothing. */
export class CrashBook {
    public readonly slice = "quarantine";
    /** Notified when entries have something to learn. */
    public readonly changed = new Notifier();
    private held: Uint8Array | undefined;
    private suspicions = new Suspicions();
    private readonly barred = new Map<string, BarredRequest>();
    /** Held back before, and let in again. */
    private readonly probation = new Map<string, BarredRequest>();
    private standings = new StandingLog();

    /** Of the fleet's fingerprints; undefined until a leader has set one. */
    public get key(): Uint8Array | undefined {
        return this.held;
    }

    /** Position of the newest change. */
    public get position(): number {
        return this.standings.position;
    }

    /** Whether nothing is suspected or barred, as far as entries are told. */
    public get isEmpty(): boolean {
        return this.standings.isEmpty;
    }

    public since(position: number): QuarantineChanges {
        return this.standings.since(position);
    }

    /** What entries are told of a request; undefined where that is nothing. */
    public standingOf(fingerprint: string): ListedRequest | undefined {
        return this.standings.get(fingerprint);
    }

    /** Whether something has been known for long enough; `now` in milliseconds since the epoch. */
    public isDue(now: number): boolean {
        return [...this.barred.values()].some(({ until }) => until < now)
            || [...this.probation.values()].some(({ until }) => until + probationMs < now);
    }

    public apply(command: unknown, { time }: { readonly time: number; }): QuarantineResult {
        return Value.Check(Command, command) ? this.applyChecked(command, time) : nothingDone;
    }

    public snapshot(): unknown {
        return {
            ...(this.held === undefined ? {} : { key: Buffer.from(this.held).toString("base64") }),
            position: this.position,
            barred: [...this.barred.values()],
            probation: [...this.probation.values()],
            ends: this.suspicions.snapshot(),
        };
    }

    public restore(state: unknown): void {
        const stored = Value.Check(StoredState, state) ? state : {};
        const { key, position = 0, barred = [], probation = [], ends = [] } = stored;
        this.held = key === undefined ? undefined : Buffer.from(key, "base64");
        this.barred.clear();
        this.probation.clear();
        barred.forEach(request => this.barred.set(request.fingerprint, request));
        probation.forEach(request => this.probation.set(request.fingerprint, request));
        this.suspicions = new Suspicions();
        this.suspicions.restore(ends);
        // Positions hold within one leadership; entries are told everything at the start of each.
        this.standings = new StandingLog(position);
        this.tell();
    }

    private applyChecked(command: QuarantineCommand, time: number): QuarantineResult {
        switch (command.kind) {
            case "set-key":
                this.setKey(command.key);
                return nothingDone;
            case "upstream-ended":
                return this.takeEnd(command, time);
            case "cleared":
                command.fingerprints.forEach(fingerprint => this.clear(fingerprint));
                break;
            case "expire":
                this.expire(time);
                break;
        }
        this.tell();
        return nothingDone;
    }

    private setKey(key: string): void {
        if (this.held === undefined) {
            this.held = Buffer.from(key, "base64");
            this.standings.touch();
            this.changed.notify();
        }
    }

    private takeEnd({ upstream, agoMs, suspects }: UpstreamEnded, time: number): QuarantineResult {
        this.suspicions.forgetBefore(time - suspectedMs);
        const told = { upstream, at: time - agoMs, toldAt: time, suspects };
        const isBarred = (fingerprint: string) => this.barred.has(fingerprint);
        const isExplained = suspects.some(({ fingerprint }) => isBarred(fingerprint));
        // What one that is held back explains, in flight as it may be, counts against nobody on probation.
        const again = suspects
            .map(({ fingerprint }) => isExplained ? undefined : this.probation.get(fingerprint))
            .filter(found => found !== undefined);
        const { causes, baseless } = this.suspicions.note(told, {
            barred: () => [...this.barred.keys()],
            isBarred,
            isOnProbation: fingerprint => this.probation.has(fingerprint),
        });
        baseless.forEach(fingerprint => this.barred.delete(fingerprint));
        const barred = [...causes, ...again];
        barred.forEach(cause => this.bar(cause, time));
        this.dropOldest();
        this.tell();
        return { barred, lifted: baseless };
    }

    private bar({ fingerprint, size, occasions }: Cause, time: number): void {
        const before = this.probation.get(fingerprint);
        this.probation.delete(fingerprint);
        const times = (before?.times ?? 0) + 1;
        const until = time + Math.min(longestBarredMs, firstBarredMs * 2 ** (times - 1));
        const seen = before === undefined ? occasions : before.occasions + 1;
        this.barred.set(fingerprint, { fingerprint, size, occasions: seen, until, times });
    }

    private clear(fingerprint: string): void {
        this.suspicions.clear(fingerprint);
        this.barred.delete(fingerprint);
        this.probation.delete(fingerprint);
    }

    private expire(time: number): void {
        for (const request of [...this.probation.values()]) {
            if (request.until + probationMs < time) {
                this.probation.delete(request.fingerprint);
            }
        }
        for (const request of [...this.barred.values()]) {
            if (request.until < time) {
                this.barred.delete(request.fingerprint);
                this.probation.set(request.fingerprint, request);
            }
        }
        this.suspicions.forgetBefore(time - suspectedMs);
    }

    private dropOldest(): void {
        while (this.barred.size + this.probation.size > mostHeld) {
            const held = this.probation.size > 0 ? this.probation : this.barred;
            const [oldest] = held.keys();
            held.delete(oldest);
        }
    }

    /** Brings what entries are told into line with what is known. */
    private tell(): void {
        const before = this.position;
        const listed = this.listed();
        const kept = new Set(listed.map(({ fingerprint }) => fingerprint));
        this.standings.all()
            .filter(({ fingerprint }) => !kept.has(fingerprint))
            .forEach(({ fingerprint }) => this.standings.remove(fingerprint));
        listed.forEach(request => this.standings.put(request));
        if (this.position !== before) {
            this.changed.notify();
        }
    }

    private listed(): ListedRequest[] {
        const barred = [...this.barred.values()].map(({ fingerprint, size, occasions }): ListedRequest => ({
            fingerprint,
            size,
            occasions,
            standing: "barred",
        }));
        const suspected = [...this.suspicions.all(), ...this.probation.values()]
            .filter(({ fingerprint, occasions }) => occasions >= occasionsToList && !this.barred.has(fingerprint))
            .map(({ fingerprint, size, occasions }): ListedRequest => ({
                fingerprint,
                size,
                occasions,
                standing: "suspected",
            }));
        return [...barred, ...suspected];
    }
}
