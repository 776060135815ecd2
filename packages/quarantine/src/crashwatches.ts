/**
 * The leader's side: gathers from all entries what ran at an upstream that seems to have ended, makes sure that it
 * has, and writes both into the replicated log. A connection that was reset, or an upstream that has left as it
 * said, counts against nobody.
 */
import { type EventLog, messageOf, type Metrics, Notifier, steadyNow } from "@winchpath/core";
import { randomBytes } from "node:crypto";
import { type QuarantineCommand, type Suspect } from "./commands.js";
import { type CrashBook, type QuarantineResult } from "./crashbooks.js";

/** Entries tell of one end within this time of each other, in milliseconds; what comes later is added. */
const gatherMs = 100;
/** An end that nothing has confirmed by then did not happen, in milliseconds: ten announcements at the usual 1.2 s. */
const unconfirmedMs = 12_000;
/** How often what was told is looked at while some of it is open, and otherwise, in milliseconds. */
const lookMs = 50;
const idleMs = 1000;
/** Fingerprints in one line of the log: as many as run at an upstream at once. */
const mostLogged = 64;
/** Bytes of the key of the fleet's fingerprints: as many as their digest has. */
const keyBytes = 32;

/**
 * What control knows of an incarnation of an upstream. A leader that has just begun has not heard of all that serve
 * (`unheard`); later, one that it doesn't know has left (`gone`).
 */
export type Presence = "serving" | "leaving" | "replaced" | "unheard" | "gone";

/** What an entry saw of an upstream that seems to have ended. */
export interface CrashSight {
    readonly upstream: string;
    /** Whether its address refuses connections. */
    readonly refused: boolean;
    /** How long ago, in milliseconds. */
    readonly agoMs: number;
    readonly suspects: readonly Suspect[];
}

export interface CrashWatchParts {
    readonly book: () => CrashBook;
    readonly presence: (upstream: string) => Presence;
    /** Writes a command into the log; returns once it is applied here. */
    readonly propose: (command: QuarantineCommand) => Promise<QuarantineResult>;
    readonly log: EventLog;
    readonly metrics: Pick<Metrics, "count">;
}

interface Pending {
    readonly upstream: string;
    /** Steady times. */
    readonly endedAt: number;
    readonly heardAt: number;
    refused: boolean;
    /** By fingerprint; `sentAt` is a steady time. */
    readonly suspects: Map<string, { readonly size: number; readonly sentAt: number; }>;
}

export class CrashWatch {
    private readonly pending = new Map<string, Pending>();
    /** Ends that are written, with the time: what is told of them later needs no confirmation. */
    private readonly written = new Map<string, number>();
    private readonly wake = new Notifier();

    public constructor(private readonly parts: CrashWatchParts) {}

    public take(entry: string, sights: readonly CrashSight[], endedWell: readonly string[]): void {
        sights.forEach(sight => this.takeSight(entry, sight));
        const cleared = endedWell.filter(fingerprint => this.parts.book().standingOf(fingerprint) !== undefined);
        if (cleared.length > 0) {
            this.parts.log.info("request.cleared", { entry, fingerprints: cleared });
            void this.write({ kind: "cleared", fingerprints: cleared });
        }
        this.wake.notify();
    }

    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.setKey();
            await this.wake.wait(this.pending.size > 0 ? lookMs : idleMs);
            await this.look();
        }
    }

    /** The first leader of a fleet draws the key; it holds from then on. */
    private async setKey(): Promise<void> {
        if (this.parts.book().key === undefined) {
            await this.write({ kind: "set-key", key: randomBytes(keyBytes).toString("base64") });
        }
    }

    private takeSight(entry: string, { upstream, refused, agoMs, suspects }: CrashSight): void {
        const now = steadyNow();
        const presence = this.parts.presence(upstream);
        let pending = this.pending.get(upstream);
        const hasLeft = presence === "leaving" || presence === "gone";
        if (pending === undefined && !this.written.has(upstream) && hasLeft) {
            this.parts.log.info("upstream.end-ignored", { upstream, entry, presence, suspects: suspects.length });
            return;
        }
        if (pending === undefined) {
            pending = { upstream, endedAt: now - agoMs, heardAt: now, refused, suspects: new Map() };
            this.pending.set(upstream, pending);
        }
        pending.refused ||= refused;
        for (const { fingerprint, size, sentAgoMs } of suspects) {
            const before = pending.suspects.get(fingerprint)?.sentAt ?? Number.NEGATIVE_INFINITY;
            pending.suspects.set(fingerprint, { size, sentAt: Math.max(before, now - sentAgoMs) });
        }
    }

    private async look(): Promise<void> {
        const now = steadyNow();
        for (const pending of [...this.pending.values()]) {
            if (now - pending.heardAt >= gatherMs && this.isOver(pending)) {
                await this.writeEnd(pending);
            }
            else if (now - pending.heardAt > unconfirmedMs) {
                this.pending.delete(pending.upstream);
                this.parts.log.info("upstream.end-unconfirmed", { upstream: pending.upstream });
            }
        }
        for (const [upstream, at] of this.written) {
            if (now - at > unconfirmedMs) {
                this.written.delete(upstream);
            }
        }
        if (this.parts.book().isDue(Date.now())) {
            await this.write({ kind: "expire" });
        }
    }

    private isOver({ upstream, refused }: Pending): boolean {
        return refused || this.written.has(upstream) || this.parts.presence(upstream) === "replaced";
    }

    private async writeEnd(pending: Pending): Promise<void> {
        const { upstream, endedAt, suspects } = pending;
        this.pending.delete(upstream);
        this.written.set(upstream, steadyNow());
        const now = steadyNow();
        const agoMs = now - endedAt;
        const told = [...suspects].map(([fingerprint, { size, sentAt }]) => ({
            fingerprint,
            size,
            sentAgoMs: now - sentAt,
        }));
        const result = await this.write({ kind: "upstream-ended", upstream, agoMs, suspects: told });
        if (result === undefined) {
            // No majority just now; what was gathered is still true, and more may have come since.
            this.pending.get(upstream)?.suspects.forEach((suspect, fingerprint) => suspects.set(fingerprint, suspect));
            this.pending.set(upstream, pending);
            return;
        }
        this.parts.log.warn("upstream.ended", {
            upstream,
            agoMs: Math.round(agoMs),
            refused: pending.refused,
            suspects: told.slice(0, mostLogged).map(({ fingerprint }) => fingerprint),
            suspectCount: told.length,
        });
        this.parts.metrics.count("upstreams_ended_total");
        for (const fingerprint of result.lifted) {
            this.parts.log.warn("request.unbarred", { fingerprint, upstream });
            this.parts.metrics.count("requests_unbarred_total");
        }
        for (const { fingerprint, occasions } of result.barred) {
            this.parts.log.warn("request.barred", { fingerprint, occasions, upstream });
            this.parts.metrics.count("requests_barred_total");
        }
    }

    /** Undefined where it could not be written. */
    private async write(command: QuarantineCommand): Promise<QuarantineResult | undefined> {
        try {
            return await this.parts.propose(command);
        }
        catch (err) {
            this.parts.log.warn("quarantine.unwritten", { kind: command.kind, error: messageOf(err) });
            return undefined;
        }
    }
}
