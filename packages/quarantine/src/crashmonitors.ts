/**
 * The leader's side: collects reports from entries about upstreams that seem to have crashed, verifies the crashes and
 * writes them to the replicated log. Connection resets and draining upstreams that stop don't count as crashes.
 */
import { type EventLog, messageOf, type Metrics, Notifier, steadyNow } from "@winchpath/core";
import { randomBytes } from "node:crypto";
import { maxPartFeatures, maxPrecedingCrashes, type QuarantineCommand, type Suspect } from "./commands.js";
import { hasFeature, type SuspectRecord } from "./crashes.js";
import { isPart } from "./features.js";
import { type QuarantineResult, type QuarantineState } from "./quarantinestates.js";

/** Time in which reports of one crash are collected before it is written; later reports are written separately. */
const aggregationMs = 100;
/** Unconfirmed reports are dropped after this time, in milliseconds: ten announcements at the default interval. */
const confirmationTimeoutMs = 12_000;
/**
 * A request is held for this long after connections were lost under it without a confirmed crash, in milliseconds: an
 * upstream that was restarted before its address was probed announces itself within one default interval of 1.2 s.
 */
const maxUnconfirmedHoldMs = 2000;
/** Intervals at which reports are checked while some are pending, and otherwise, in milliseconds. */
const pendingCheckMs = 50;
const idleCheckMs = 1000;
/** Bound on the fingerprints in one log line. */
const maxLoggedFingerprints = 64;
/** Size of the fingerprint key, equal to that of the digest. */
const keyBytes = 32;

/**
 * State of an upstream's incarnation according to the control plane. A new leader may not have heard of a running
 * upstream yet (`unheard`); later, an unknown upstream has left (`gone`).
 */
export type UpstreamPresence = "serving" | "leaving" | "replaced" | "unheard" | "gone";

/** Report of an entry about an upstream that seems to have crashed. */
export interface ObservedCrash {
    readonly upstream: string;
    /** Whether connections to its address are refused. */
    readonly refused: boolean;
    /** Time since the crash, in milliseconds. */
    readonly agoMs: number;
    readonly suspects: readonly Suspect[];
}

export interface CrashMonitorOptions {
    readonly book: () => QuarantineState;
    readonly presence: (upstream: string) => UpstreamPresence;
    /** Appends a command to the replicated log; resolves once it is applied locally. */
    readonly propose: (command: QuarantineCommand) => Promise<QuarantineResult>;
    readonly log: EventLog;
    readonly metrics: Pick<Metrics, "count">;
}

interface PendingCrash {
    readonly upstream: string;
    /** Monotonic times. */
    readonly crashedAt: number;
    readonly reportedAt: number;
    refused: boolean;
    /** By fingerprint; `sentAt` is a monotonic time. */
    readonly suspects: Map<string, SuspectRecord>;
}

export class CrashMonitor {
    private readonly pending = new Map<string, PendingCrash>();
    /** Crashes whose command has not been applied yet. */
    private readonly writing = new Map<string, PendingCrash>();
    /** Crashes that were written, with the monotonic time: further reports of them need no confirmation. */
    private readonly recorded = new Map<string, number>();
    private readonly wake = new Notifier();

    public constructor(private readonly options: CrashMonitorOptions) {}

    public addReports(entry: string, reports: readonly ObservedCrash[], succeeded: readonly string[]): void {
        reports.forEach(report => this.addReport(entry, report));
        const cleared = succeeded.filter(fingerprint => this.options.book().find(fingerprint) !== undefined);
        if (cleared.length > 0) {
            this.options.log.info("request.cleared", { entry, fingerprints: cleared });
            void this.write({ kind: "cleared", fingerprints: cleared });
        }
        this.wake.notify();
    }

    /** Whether no crash is undecided. */
    public get isIdle(): boolean {
        return this.pending.size === 0 && this.writing.size === 0;
    }

    /**
     * Whether a request with one of the features was running during a crash that is not recorded yet. A loss of
     * connections that nothing has confirmed as a crash counts for {@link maxUnconfirmedHoldMs} only, and not for parts,
     * which harmless requests share.
     */
    public hasUndecidedCrash(features: readonly string[]): boolean {
        const wholeRequests = features.filter(feature => !isPart(feature));
        return [...this.writing.values()].some(crash => hasSuspect(crash, features))
            || [...this.pending.values()].some(crash =>
                this.isConfirmed(crash)
                    ? hasSuspect(crash, features)
                    : steadyNow() - crash.crashedAt < maxUnconfirmedHoldMs && hasSuspect(crash, wholeRequests)
            );
    }

    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.setKey();
            await this.wake.wait(this.pending.size > 0 ? pendingCheckMs : idleCheckMs);
            await this.checkPending();
        }
    }

    /** Generates the fingerprint key if the fleet has none yet. */
    private async setKey(): Promise<void> {
        if (this.options.book().key === undefined) {
            await this.write({ kind: "set-key", key: randomBytes(keyBytes).toString("base64") });
        }
    }

    private addReport(entry: string, { upstream, refused, agoMs, suspects }: ObservedCrash): void {
        const now = steadyNow();
        const presence = this.options.presence(upstream);
        let pending = this.pending.get(upstream);
        this.options.log.info("upstream.end-reported", {
            upstream,
            entry,
            presence,
            refused,
            agoMs: Math.round(agoMs),
            suspects: suspects.slice(0, maxLoggedFingerprints).map(({ fingerprint, sentAgoMs }) =>
                `${fingerprint} ${Math.round(sentAgoMs)}`
            ),
            suspectParts: countParts(suspects),
        });
        const hasLeft = presence === "leaving" || presence === "gone";
        if (pending === undefined && !this.recorded.has(upstream) && hasLeft) {
            this.options.log.info("upstream.end-ignored", { upstream, entry, presence, suspects: suspects.length });
            return;
        }
        if (pending === undefined) {
            pending = { upstream, crashedAt: now - agoMs, reportedAt: now, refused, suspects: new Map() };
            this.pending.set(upstream, pending);
        }
        pending.refused ||= refused;
        for (const { fingerprint, size, sentAgoMs, sentAfter = [], parts = [], isTrial = false } of suspects) {
            const before = pending.suspects.get(fingerprint);
            const preceding = [...new Set([...before?.sentAfter ?? [], ...sentAfter])];
            pending.suspects.set(fingerprint, {
                fingerprint,
                size,
                sentAt: Math.max(before?.sentAt ?? Number.NEGATIVE_INFINITY, now - sentAgoMs),
                sentAfter: preceding.slice(0, maxPrecedingCrashes),
                parts: parts.filter(part => before?.parts.includes(part) ?? true).slice(0, maxPartFeatures),
                isTrial: isTrial || (before?.isTrial ?? false),
            });
        }
    }

    private async checkPending(): Promise<void> {
        const now = steadyNow();
        for (const pending of [...this.pending.values()]) {
            if (now - pending.reportedAt >= aggregationMs && this.isConfirmed(pending)) {
                await this.recordCrash(pending);
            }
            else if (now - pending.reportedAt > confirmationTimeoutMs) {
                this.pending.delete(pending.upstream);
                this.options.log.info("upstream.end-unconfirmed", { upstream: pending.upstream });
            }
        }
        for (const [upstream, at] of this.recorded) {
            if (now - at > confirmationTimeoutMs) {
                this.recorded.delete(upstream);
            }
        }
        if (this.options.book().hasExpired(Date.now())) {
            await this.write({ kind: "expire" });
        }
    }

    private isConfirmed({ upstream, refused }: PendingCrash): boolean {
        return refused || this.recorded.has(upstream) || this.options.presence(upstream) === "replaced";
    }

    private async recordCrash(pending: PendingCrash): Promise<void> {
        const { upstream, crashedAt, suspects } = pending;
        this.pending.delete(upstream);
        this.recorded.set(upstream, steadyNow());
        const now = steadyNow();
        const agoMs = now - crashedAt;
        const reported = [...suspects.values()].map((
            { fingerprint, size, sentAt, sentAfter, parts, isTrial },
        ): Suspect => ({
            fingerprint,
            size,
            sentAgoMs: now - sentAt,
            ...(sentAfter.length === 0 ? {} : { sentAfter: [...sentAfter] }),
            ...(parts.length === 0 ? {} : { parts: [...parts] }),
            ...(isTrial ? { isTrial } : {}),
        }));
        this.writing.set(upstream, pending);
        const result = await this.write({ kind: "upstream-ended", upstream, agoMs, suspects: reported });
        this.writing.delete(upstream);
        if (result === undefined) {
            // Without a quorum the report stays pending; suspects may have been added to it meanwhile.
            this.pending.get(upstream)?.suspects.forEach((suspect, fingerprint) => suspects.set(fingerprint, suspect));
            this.pending.set(upstream, pending);
            return;
        }
        this.options.log.warn("upstream.ended", {
            upstream,
            agoMs: Math.round(agoMs),
            refused: pending.refused,
            suspects: reported.slice(0, maxLoggedFingerprints).map(({ fingerprint }) => fingerprint),
            suspectCount: reported.length,
            suspectParts: countParts(reported),
        });
        this.options.metrics.count("upstreams_ended_total");
        for (const fingerprint of result.lifted) {
            this.options.log.warn("request.unbarred", { fingerprint, upstream });
            this.options.metrics.count("requests_unbarred_total");
        }
        for (const { fingerprint, occasions } of result.barred) {
            this.options.log.warn("request.barred", { fingerprint, occasions, upstream });
            this.options.metrics.count("requests_barred_total");
        }
    }

    /** Returns undefined if the command couldn't be written. */
    private async write(command: QuarantineCommand): Promise<QuarantineResult | undefined> {
        try {
            return await this.options.propose(command);
        }
        catch (err) {
            this.options.log.warn("quarantine.unwritten", { kind: command.kind, error: messageOf(err) });
            return undefined;
        }
    }
}

/** Whether a request with one of the features was running. */
function hasSuspect({ suspects }: PendingCrash, features: readonly string[]): boolean {
    return [...suspects.values()].some(suspect => features.some(feature => hasFeature(suspect, feature)));
}

/** The parts of the suspects' prompts, each with the number of suspects that have it, the most frequent first. */
function countParts(suspects: readonly Suspect[]): string[] | undefined {
    const counts = new Map<string, number>();
    suspects.flatMap(({ parts = [] }) => parts).forEach(part => counts.set(part, (counts.get(part) ?? 0) + 1));
    return counts.size === 0
        ? undefined
        : [...counts].sort((a, b) => b[1] - a[1]).slice(0, maxLoggedFingerprints).map(([part, count]) =>
            `${part} ${count}`
        );
}
