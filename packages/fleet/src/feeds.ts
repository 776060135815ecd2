/** The leader's side of the feed: entries poll for changes, and confirm what they have taken in. */
import { create } from "@bufbuild/protobuf";
import { type EventLog, Notifier, steadyNow } from "@winchpath/core";
import { type ConfigurationDocument } from "@winchpath/declarations";
import { type CrashBook } from "@winchpath/quarantine";
import { encodeQuarantine, encodeUpstream } from "./encodings.js";
import { gatherMs, ordinaryPaceMs } from "./feedpaces.js";
import { type PollRequest, type PollResponse, PollResponseSchema } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { modelName } from "./items.js";
import { type Registry } from "./registries.js";

/** An entry that has not polled for this long is taken for dead or cut off: three polls at the usual second. */
const entryLostMs = 3000;
/** A new leader may take this long to hear of every upstream: three announcements at the usual 1.2 s. */
const completeAfterMs = 4000;

/** Entries are counted anew after this long, in milliseconds: the count sets paces and shares. */
const countMs = 100;

/** What the feed asks of the control group's replica. */
export interface FeedControl {
    /** Identity of the leadership; undefined where this replica does not lead. */
    readonly epoch: string | undefined;
    /** Milliseconds for which it has led. */
    readonly ledMs: number;
    /** Milliseconds since the latest moment at which a majority is known to have followed it. */
    readonly quorumAgeMs: number;
    readonly leaderUrl: string;
    readonly controlUrls: readonly string[];
    readonly document: ConfigurationDocument | undefined;
    /** Requests under which upstreams have ended. */
    readonly quarantine: Pick<CrashBook, "key" | "position" | "since">;
    /** Models that requests wait for at an entry, by {@link modelName}. */
    awaitedAt(entry: string): ReadonlySet<string>;
    /** Returns once all that was accepted before is applied here, or fails. */
    barrier(): Promise<void>;
}

interface EntryState {
    position: number;
    polledAt: number;
    /** Steady time of the last answer. */
    answeredAt: number;
}

/** A poll that is not answered yet. */
interface WaitingPoll {
    readonly req: PollRequest;
    readonly wake: Notifier;
    /** Whether it waits only for its time: there is something to tell. */
    knowsNews: boolean;
}

export class Feed {
    private readonly entries = new Map<string, EntryState>();
    /** Notified when an entry has confirmed something. */
    private readonly confirmed = new Notifier();
    private readonly waiting = new Set<WaitingPoll>();
    private counted = { at: Number.NEGATIVE_INFINITY, live: 0 };

    public constructor(
        private readonly registry: Registry,
        private readonly control: FeedControl,
        private readonly log: EventLog,
    ) {}

    /** Wakes the polls that wait; called at each change of registry or document. */
    public wake(): void {
        for (const poll of this.waiting) {
            // Most wait for their time already: 300 entries and 70 changes a second would take a tenth of a core.
            if (!poll.knowsNews || this.newsDueMs(poll.req) <= 0) {
                poll.wake.notify();
            }
        }
    }

    /** Entries that have polled lately. */
    public get liveEntries(): number {
        const now = steadyNow();
        if (now - this.counted.at < countMs) {
            return this.counted.live;
        }
        let live = 0;
        for (const { polledAt } of this.entries.values()) {
            live += now - polledAt < entryLostMs ? 1 : 0;
        }
        this.counted = { at: now, live };
        return live;
    }

    public async poll(req: PollRequest): Promise<PollResponse> {
        const { epoch } = this.control;
        const startedAt = steadyNow();
        if (epoch === undefined) {
            return this.notLeader();
        }
        if (req.probe) {
            return create(PollResponseSchema, { leads: true, controlUrls: [...this.control.controlUrls] });
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
        return this.control.epoch === epoch ? this.answer(req, epoch, fresh, startedAt) : this.notLeader();
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
            this.counted.at = Number.NEGATIVE_INFINITY;
        }
        this.entries.set(req.entry, {
            position: fresh ? 0 : Number(req.position),
            polledAt: steadyNow(),
            answeredAt: this.entries.get(req.entry)?.answeredAt ?? Number.NEGATIVE_INFINITY,
        });
        this.confirmed.notify();
    }

    private async awaitChange(req: PollRequest, epoch: string): Promise<void> {
        const deadline = steadyNow() + req.waitMs;
        const wake = new Notifier();
        const poll: WaitingPoll = { req, wake, knowsNews: false };
        this.waiting.add(poll);
        try {
            for (;;) {
                const dueMs = this.newsDueMs(req);
                const leftMs = deadline - steadyNow();
                if (dueMs <= 0 || leftMs <= 0 || this.control.epoch !== epoch) {
                    break;
                }
                poll.knowsNews = Number.isFinite(dueMs);
                await wake.wait(Math.min(dueMs, leftMs));
            }
            if (this.hasNews(req)) {
                await new Promise(resolve => setTimeout(resolve, gatherMs));
            }
        }
        finally {
            this.waiting.delete(poll);
        }
    }

    /** Milliseconds until the entry is to be told what it doesn't know yet; infinite where there is nothing. */
    private newsDueMs(req: PollRequest): number {
        if (!this.hasNews(req)) {
            return Number.POSITIVE_INFINITY;
        }
        if (this.isUrgent(req)) {
            return 0;
        }
        const { answeredAt } = this.entries.get(req.entry)!;
        return answeredAt + ordinaryPaceMs(this.liveEntries) - steadyNow();
    }

    /** Whether requests would go wrong, or wait for longer, if the entry was told later. */
    private isUrgent(req: PollRequest): boolean {
        const position = Number(req.position);
        if (this.registry.urgentPosition > position || this.hasNewerDocument(req) || this.hasNewerQuarantine(req)) {
            return true;
        }
        const awaited = this.control.awaitedAt(req.entry);
        return awaited.size > 0
            && this.registry.since(position).changed.some(({ service, models }) =>
                models.some(({ name, readyInMs }) => readyInMs === 0 && awaited.has(modelName(service, name)))
            );
    }

    private hasNews(req: PollRequest): boolean {
        return this.registry.position > Number(req.position) || this.hasNewerDocument(req)
            || this.hasNewerQuarantine(req);
    }

    /** Each request that goes on to upstreams meanwhile may end one more. */
    private hasNewerQuarantine(req: PollRequest): boolean {
        return this.control.quarantine.position > Number(req.quarantinePosition);
    }

    private hasNewerDocument(req: PollRequest): boolean {
        const { document } = this.control;
        return document !== undefined && document.version > Number(req.documentVersion);
    }

    private answer(req: PollRequest, epoch: string, fresh: boolean, startedAt: number): PollResponse {
        const { control } = this;
        const changes = this.registry.since(fresh ? -1 : Number(req.position));
        const document = this.hasNewerDocument(req) ? control.document : undefined;
        const state = this.entries.get(req.entry)!;
        state.polledAt = steadyNow();
        state.answeredAt = state.polledAt;
        return create(PollResponseSchema, {
            epoch,
            position: BigInt(changes.position),
            changed: changes.changed.map(encodeUpstream),
            removed: [...changes.removed],
            left: [...changes.left],
            documentVersion: BigInt(document?.version ?? 0),
            documentText: document?.text ?? "",
            entries: this.liveEntries,
            complete: control.ledMs > completeAfterMs,
            controlUrls: [...control.controlUrls],
            waitedMs: Math.max(0, state.polledAt - startedAt - 1),
            quorumAgeMs: Math.ceil(control.quorumAgeMs) + 1,
            fingerprintKey: control.quarantine.key,
            ...encodeQuarantine(control.quarantine.since(fresh ? 0 : Number(req.quarantinePosition))),
        });
    }

    private notLeader(): PollResponse {
        const { leaderUrl, controlUrls } = this.control;
        return create(PollResponseSchema, { notLeader: true, leaderUrl, controlUrls: [...controlUrls] });
    }
}
