/** The leader's side of the feed: entries poll for changes, and confirm what they have taken in. */
import { create } from "@bufbuild/protobuf";
import { type EventLog, Notifier, steadyNow } from "@winchpath/core";
import { type ConfigurationDocument } from "@winchpath/declarations";
import { type PollRequest, type PollResponse, PollResponseSchema } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type Registry } from "./registries.js";

/** An entry that has not polled for this long is taken for dead or cut off: three polls at the usual second. */
const entryLostMs = 3000;
/** A poll is answered this long after the first change, so that changes of one moment travel together. */
const gatherMs = 5;
/** A new leader may take this long to hear of every upstream: three announcements at the usual 1.2 s. */
const completeAfterMs = 4000;

/** What the feed asks of the control group's replica. */
export interface FeedControl {
    /** Identity of the leadership; undefined where this replica does not lead. */
    readonly epoch: string | undefined;
    /** Milliseconds for which it has led. */
    readonly ledMs: number;
    readonly leaderUrl: string;
    readonly controlUrls: readonly string[];
    readonly document: ConfigurationDocument | undefined;
    /** Returns once all that was accepted before is applied here, or fails. */
    barrier(): Promise<void>;
}

interface EntryState {
    position: number;
    polledAt: number;
}

export class Feed {
    private readonly entries = new Map<string, EntryState>();
    /** Notified when an entry has confirmed something. */
    private readonly confirmed = new Notifier();
    /** One for each poll that waits. */
    private readonly waiting = new Set<Notifier>();

    public constructor(
        private readonly registry: Registry,
        private readonly control: FeedControl,
        private readonly log: EventLog,
    ) {}

    /** Wakes the polls that wait; called at each change of registry or document. */
    public wake(): void {
        this.waiting.forEach(poll => poll.notify());
    }

    /** Entries that have polled lately. */
    public get liveEntries(): number {
        const now = steadyNow();
        return [...this.entries.values()].filter(entry => now - entry.polledAt < entryLostMs).length;
    }

    public async poll(req: PollRequest): Promise<PollResponse> {
        const { epoch } = this.control;
        if (epoch === undefined) {
            return this.notLeader();
        }
        const fresh = req.epoch !== epoch;
        if (fresh) {
            // What was acknowledged by earlier leaders must be in the first answer.
            await this.control.barrier();
        }
        this.note(req, fresh);
        if (!fresh) {
            await this.awaitChange(req, epoch);
        }
        return this.control.epoch === epoch ? this.answer(req, epoch, fresh) : this.notLeader();
    }

    /** Returns once every entry in reach has confirmed `position`, or after `timeoutMs`. */
    public async spread(position: number, timeoutMs: number): Promise<void> {
        const deadline = steadyNow() + timeoutMs;
        this.wake();
        while (steadyNow() < deadline && this.behind(position).length > 0) {
            await this.confirmed.wait(deadline - steadyNow());
        }
        const behind = this.behind(position);
        if (behind.length > 0) {
            this.log.warn("feed.unconfirmed", { position, entries: behind });
        }
    }

    private behind(position: number): string[] {
        const now = steadyNow();
        return [...this.entries]
            .filter(([, entry]) => now - entry.polledAt < entryLostMs && entry.position < position)
            .map(([name]) => name);
    }

    private note(req: PollRequest, fresh: boolean): void {
        if (!this.entries.has(req.entry)) {
            this.log.info("entry.known", { entry: req.entry });
        }
        this.entries.set(req.entry, { position: fresh ? 0 : Number(req.position), polledAt: steadyNow() });
        this.confirmed.notify();
    }

    private async awaitChange(req: PollRequest, epoch: string): Promise<void> {
        const deadline = steadyNow() + req.waitMs;
        const wake = new Notifier();
        this.waiting.add(wake);
        try {
            while (!this.hasNews(req) && this.control.epoch === epoch && steadyNow() < deadline) {
                await wake.wait(deadline - steadyNow());
            }
            if (this.hasNews(req)) {
                await new Promise(resolve => setTimeout(resolve, gatherMs));
            }
        }
        finally {
            this.waiting.delete(wake);
        }
    }

    private hasNews(req: PollRequest): boolean {
        return this.registry.position > Number(req.position) || this.hasNewerDocument(req);
    }

    private hasNewerDocument(req: PollRequest): boolean {
        const { document } = this.control;
        return document !== undefined && document.version > Number(req.documentVersion);
    }

    private answer(req: PollRequest, epoch: string, fresh: boolean): PollResponse {
        const { control } = this;
        const changes = this.registry.since(fresh ? -1 : Number(req.position));
        const document = this.hasNewerDocument(req) ? control.document : undefined;
        this.entries.get(req.entry)!.polledAt = steadyNow();
        return create(PollResponseSchema, {
            epoch,
            position: BigInt(changes.position),
            changed: [...changes.changed],
            removed: [...changes.removed],
            documentVersion: BigInt(document?.version ?? 0),
            documentText: document?.text ?? "",
            entries: this.liveEntries,
            complete: control.ledMs > completeAfterMs,
            controlUrls: [...control.controlUrls],
        });
    }

    private notLeader(): PollResponse {
        const { leaderUrl, controlUrls } = this.control;
        return create(PollResponseSchema, { notLeader: true, leaderUrl, controlUrls: [...controlUrls] });
    }
}
