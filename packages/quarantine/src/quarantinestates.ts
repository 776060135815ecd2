/**
 * The replicated state of the quarantine: which features of requests are suspected of crashing upstreams, and requests with
 * which features are barred.
 */
import { Notifier } from "@winchpath/core";
import Type, { type Static } from "typebox";
import Value from "typebox/value";
import { type CrashSuspect } from "./causefinders.js";
import { type QuarantineCommand, QuarantineCommand as Command, type Suspect, type UpstreamEnded } from "./commands.js";
import { CrashAttribution } from "./crashattributions.js";
import { StoredCrash } from "./crashes.js";
import { featuresOf, implies, isPart, withoutFeature } from "./features.js";
import { type ListingMatch } from "./listings.js";
import { type ListedRequest, QuarantineChangeLog, type QuarantineChanges } from "./quarantinechanges.js";

/** How long a crash counts against the requests that were running, in milliseconds; clients retry within minutes. */
const crashRetentionMs = 600_000;
/**
 * The first bar lasts this long, in milliseconds, and each further one twice as long. After a bar the request is on
 * probation: it is served, but a single crash bars it again, so a request that was barred wrongly is released in time.
 */
const initialBarMs = 600_000;
const maxBarMs = 24 * 3_600_000;
/** Probation ends after this time without a crash, in milliseconds. */
const probationMs = 3_600_000;
/** Maximum number of requests that are barred or on probation; the oldest are evicted. Each has crashed three upstreams. */
const maxTrackedRequests = 2000;
/** Suspected requests are listed for entries from this many occasions on, since the next crash may bar them. */
export const occasionsToList = 2;
/**
 * Suspected parts are listed from the first crash on: requests with the part arrive at all entries, no two of them equal,
 * and run one at a time from then on.
 */
const occasionsToListPart = 1;
/** Bound on the suspected features that are listed; of those with one occasion, the oldest are left out. */
const maxListedSuspects = 512;

/** Requests with certain features that are barred. */
const BarredRequest = Type.Object({
    /** Identifies the combination of features. */
    fingerprint: Type.String(),
    size: Type.Integer(),
    occasions: Type.Integer(),
    /** End of the bar in milliseconds since the Unix epoch, by the leader's clock. */
    until: Type.Number(),
    /** How many times it has been barred. */
    times: Type.Integer(),
});
type BarredRequest = Static<typeof BarredRequest>;

const StoredState = Type.Object({
    key: Type.Optional(Type.String()),
    position: Type.Optional(Type.Integer()),
    barred: Type.Optional(Type.Array(BarredRequest)),
    probation: Type.Optional(Type.Array(BarredRequest)),
    ends: Type.Optional(Type.Array(StoredCrash)),
});

/** Effects of a command, for the log of the process that proposed it. */
export interface QuarantineResult {
    readonly barred: readonly CrashSuspect[];
    /** No longer barred, because other upstreams are now known to have crashed at the same times. */
    readonly lifted: readonly string[];
}

const unchanged: QuarantineResult = { barred: [], lifted: [] };

/** A slice of the replicated state; commands that can't be decoded are ignored. */
export class QuarantineState {
    public readonly slice = "quarantine";
    /** Notified when there is a change for entries. */
    public readonly changed = new Notifier();
    private fingerprintKey: Uint8Array | undefined;
    private attribution = new CrashAttribution();
    private readonly barred = new Map<string, BarredRequest>();
    /** Requests whose bar has expired. */
    private readonly probation = new Map<string, BarredRequest>();
    private changeLog = new QuarantineChangeLog();

    /** The fleet's fingerprint key; undefined until a leader has set it. */
    public get key(): Uint8Array | undefined {
        return this.fingerprintKey;
    }

    /** Position of the latest change. */
    public get position(): number {
        return this.changeLog.position;
    }

    /** Whether no request is listed for entries. */
    public get isEmpty(): boolean {
        return this.changeLog.isEmpty;
    }

    public changesSince(position: number): QuarantineChanges {
        return this.changeLog.since(position);
    }

    /** Listed status of a feature or combination; undefined if it isn't listed. */
    public find(fingerprint: string): ListedRequest | undefined {
        return this.changeLog.get(fingerprint);
    }

    /** What is listed about a request with the given features. */
    public match(features: readonly string[]): ListingMatch {
        return this.changeLog.match(features);
    }

    /** Whether some state has expired; `now` in milliseconds since the Unix epoch. */
    public hasExpired(now: number): boolean {
        return [...this.barred.values()].some(({ until }) => until < now)
            || [...this.probation.values()].some(({ until }) => until + probationMs < now);
    }

    public apply(command: unknown, { time }: { readonly time: number; }): QuarantineResult {
        return Value.Check(Command, command) ? this.applyChecked(command, time) : unchanged;
    }

    public snapshot(): unknown {
        return {
            ...(this.fingerprintKey === undefined ? {} : { key: Buffer.from(this.fingerprintKey).toString("base64") }),
            position: this.position,
            barred: [...this.barred.values()],
            probation: [...this.probation.values()],
            ends: this.attribution.snapshot(),
        };
    }

    public restore(state: unknown): void {
        const stored = Value.Check(StoredState, state) ? state : {};
        const { key, position = 0, barred = [], probation = [], ends = [] } = stored;
        this.fingerprintKey = key === undefined ? undefined : Buffer.from(key, "base64");
        this.barred.clear();
        this.probation.clear();
        barred.forEach(request => this.barred.set(request.fingerprint, request));
        probation.forEach(request => this.probation.set(request.fingerprint, request));
        this.attribution = new CrashAttribution();
        this.attribution.restore(ends);
        // Positions are valid under one leader only; a new leader sends entries the whole list.
        this.changeLog = new QuarantineChangeLog(position);
        this.publish();
    }

    private applyChecked(command: QuarantineCommand, time: number): QuarantineResult {
        switch (command.kind) {
            case "set-key":
                this.setKey(command.key);
                return unchanged;
            case "upstream-ended":
                return this.recordCrash(command, time);
            case "cleared":
                command.fingerprints.forEach(fingerprint => this.clear(fingerprint));
                break;
            case "expire":
                this.expire(time);
                break;
        }
        this.publish();
        return unchanged;
    }

    private setKey(key: string): void {
        if (this.fingerprintKey === undefined) {
            this.fingerprintKey = Buffer.from(key, "base64");
            this.changeLog.advance();
            this.changed.notify();
        }
    }

    private recordCrash({ upstream, agoMs, suspects }: UpstreamEnded, time: number): QuarantineResult {
        this.attribution.removeBefore(time - crashRetentionMs);
        const crash = { upstream, at: time - agoMs, reportedAt: time, suspects };
        const isExplained = [...this.barred.keys()].some(combination => hasAllFeatures(suspects, combination));
        // A crash of a barred request is explained by it, so it doesn't count against requests on probation.
        const repeated = isExplained
            ? []
            : [...this.probation.values()].filter(({ fingerprint }) => hasAllFeatures(suspects, fingerprint));
        const { causes, unfounded } = this.attribution.recordCrash(crash, {
            barred: [...this.barred.keys()],
            onProbation: [...this.probation.keys()],
        });
        unfounded.forEach(fingerprint => this.barred.delete(fingerprint));
        const barred = [...causes, ...repeated];
        barred.forEach(cause => this.bar(cause, time));
        this.dropSpecialCases(causes);
        this.dropOldest();
        this.publish();
        return { barred, lifted: unfounded };
    }

    private bar({ fingerprint, size, occasions }: CrashSuspect, time: number): void {
        const previous = this.probation.get(fingerprint);
        this.probation.delete(fingerprint);
        const times = (previous?.times ?? 0) + 1;
        const until = time + Math.min(maxBarMs, initialBarMs * 2 ** (times - 1));
        const totalOccasions = previous === undefined ? occasions : previous.occasions + 1;
        this.barred.set(fingerprint, { fingerprint, size, occasions: totalOccasions, until, times });
    }

    /** Drops bars of combinations that are implied by more general ones. */
    private dropSpecialCases(causes: readonly CrashSuspect[]): void {
        for (const { fingerprint } of causes) {
            [...this.barred.keys()]
                .filter(other => other !== fingerprint && implies(other, fingerprint))
                .forEach(other => this.barred.delete(other));
        }
    }

    private clear(feature: string): void {
        this.attribution.clear(feature);
        for (const requests of [this.barred, this.probation]) {
            [...requests.values()]
                .filter(({ fingerprint }) => implies(fingerprint, feature))
                .forEach(request => clearFeature(requests, request, feature));
        }
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
        this.attribution.removeBefore(time - crashRetentionMs);
    }

    private dropOldest(): void {
        while (this.barred.size + this.probation.size > maxTrackedRequests) {
            const requests = this.probation.size > 0 ? this.probation : this.barred;
            const [oldest] = requests.keys();
            requests.delete(oldest);
        }
    }

    /** Updates the list for entries to match the state. */
    private publish(): void {
        const previous = this.position;
        const listed = this.listed();
        const kept = new Set(listed.map(({ fingerprint }) => fingerprint));
        this.changeLog.all()
            .filter(({ fingerprint }) => !kept.has(fingerprint))
            .forEach(({ fingerprint }) => this.changeLog.remove(fingerprint));
        listed.forEach(request => this.changeLog.put(request));
        if (this.position !== previous) {
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
        const suspected = [...this.attribution.suspects(maxListedSuspects), ...this.probation.values()]
            .filter(({ fingerprint, occasions }) =>
                occasions >= (isPart(fingerprint) ? occasionsToListPart : occasionsToList)
                && !this.barred.has(fingerprint)
            )
            .map(({ fingerprint, size, occasions }): ListedRequest => ({
                fingerprint,
                size,
                occasions,
                standing: "suspected",
            }));
        return [...barred, ...mostSuspected(suspected)];
    }
}

function mostSuspected(suspected: readonly ListedRequest[]): readonly ListedRequest[] {
    return suspected.length <= maxListedSuspects
        ? suspected
        : [...suspected].sort((a, b) => b.occasions - a.occasions).slice(0, maxListedSuspects);
}

/** Whether one of the requests has all features of a combination. */
function hasAllFeatures(suspects: readonly Suspect[], combination: string): boolean {
    const features = featuresOf(combination);
    return suspects.some(({ fingerprint, parts = [] }) =>
        features.every(feature => feature === fingerprint || parts.includes(feature))
    );
}

/** Keeps the other features of the combination, unless they are listed by themselves. */
function clearFeature(requests: Map<string, BarredRequest>, request: BarredRequest, feature: string): void {
    requests.delete(request.fingerprint);
    const fingerprint = withoutFeature(request.fingerprint, feature);
    if (fingerprint !== undefined && !requests.has(fingerprint)) {
        const size = featuresOf(fingerprint).every(isPart) ? 0 : request.size;
        requests.set(fingerprint, { ...request, fingerprint, size });
    }
}
