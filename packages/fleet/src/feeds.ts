/** The leader's change feed: entries long-poll for changes, and each poll confirms the changes applied so far. */
import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { type EventLog, eventLoop, messageOf, Notifier, SharedRun, steadyNow } from "@winchpath/core";
import { type ConfigurationState } from "@winchpath/declarations";
import { type QuarantineState } from "@winchpath/quarantine";
import { AdmissionCoordinator } from "./admissioncoordinators.js";
import {
    encodeDeparture,
    encodeQuarantine,
    encodeSoftwareVersions,
    encodeUpstream,
    type SoftwareVersionSource,
} from "./encodings.js";
import { batchMs, minResponseIntervalMs } from "./feedintervals.js";
import {
    type ConfirmRequest,
    type ConfirmResponse,
    ConfirmResponseSchema,
    type DemandRequest,
    type PollRequest,
    type PollResponse,
    PollResponseSchema,
} from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { HostCapacities } from "./hostcapacities.js";
import { modelMapKey } from "./items.js";
import { type Registry } from "./registries.js";

/** An entry that has not polled for this long, three polls, counts as disconnected. */
const entryTimeoutMs = 3000;
/** Time for a new leader to hear from every upstream; covers three announcements at the default interval. */
const warmUpMs = 4000;

/** A leader without quorum contact for longer publishes no changes; covers a majority with slow disks. */
export const maxQuorumAgeMs = 2000;
/** Time for a majority to confirm a document, in milliseconds; entries wait for longer, and so learn that none has. */
const confirmationMs = 400;
/** How long the count of live entries is cached. */
const countCacheMs = 100;

/** The state of the control group's replica that the feed needs. */
export interface FeedControl {
    /** Identity of the leadership; undefined if this replica is not the leader. */
    readonly epoch: string | undefined;
    /** Term of the leadership; 0 if this replica is not the leader. */
    readonly term: number;
    /** Milliseconds since this replica became the leader. */
    readonly leadershipAgeMs: number;
    /** Milliseconds since a majority last confirmed the leadership. */
    readonly quorumAgeMs: number;
    /** Whether this replica leads or hears a leader, so that a majority probably exists and can be reached from here. */
    readonly hasLeaderContact: boolean;
    readonly leaderUrl: string;
    readonly controlUrls: readonly string[];
    /** The configuration document, and how long ago this host applied it. */
    readonly documents: Pick<ConfigurationState, "current" | "ageMs">;
    /** Requests that have crashed upstreams. */
    readonly quarantine: Pick<QuarantineState, "key" | "position" | "changesSince">;
    /** Software versions of the upstreams; undefined unless this replica has applied all that were committed. */
    readonly softwareVersions: SoftwareVersionSource | undefined;
    /** Models that requests at an entry are waiting for, by {@link modelMapKey}. */
    awaitedModels(entry: string): ReadonlySet<string>;
    /** Resolves once all previously accepted commands are applied on this replica; rejects after `timeoutMs`. */
    barrier(timeoutMs?: number): Promise<void>;
}

interface EntryState {
    position: number;
    polledAt: number;
    /** Monotonic time of the last response. */
    answeredAt: number;
}

/** A poll without a response so far. */
interface WaitingPoll {
    readonly req: PollRequest;
    readonly wake: Notifier;
    /** Whether there are changes to send once the minimum response interval has passed. */
    hasUpdates: boolean;
}

/** Whether an entry has polled recently, as far as polls have been read. */
function isLive({ polledAt }: EntryState): boolean {
    return eventLoop.readUntil - polledAt < entryTimeoutMs;
}

export class Feed {
    private readonly entries = new Map<string, EntryState>();
    private readonly hostCapacities = new HostCapacities();
    /** Notified when an entry has polled, and so confirmed a position. */
    private readonly confirmed = new Notifier();
    private readonly waitingPolls = new Set<WaitingPoll>();
    private readonly admission: AdmissionCoordinator;
    private readonly confirmations = new SharedRun(() => this.control.barrier(confirmationMs));
    /** The largest number of live entries that an entry was told by an earlier leader, in the current leadership. */
    private earlierCount = { epoch: "", entries: 0 };
    private liveCount = { at: Number.NEGATIVE_INFINITY, live: 0 };

    public constructor(
        private readonly registry: Registry,
        private readonly control: FeedControl,
        private readonly log: EventLog,
    ) {
        this.admission = new AdmissionCoordinator(log);
    }

    /** Records the demand by priority level in a report. */
    public recordLevels(report: DemandRequest): void {
        this.admission.record(this.control.epoch, report);
    }

    /** Wakes waiting polls; called after each change of the registry or the document. */
    public wakePolls(): void {
        for (const poll of this.waitingPolls) {
            // Polls that only wait for their interval aren't woken: with 300 entries and 70 changes per second, that would
            // take a tenth of a core.
            if (!poll.hasUpdates || this.updateDueMs(poll.req) <= 0) {
                poll.wake.notify();
            }
        }
    }

    /** Number of entries that have polled recently; of a new leader, at least as many as the last one has told of. */
    public get liveEntries(): number {
        const { epoch, leadershipAgeMs } = this.control;
        const isCounted = leadershipAgeMs > warmUpMs || this.earlierCount.epoch !== epoch;
        return Math.max(this.countLive(), isCounted ? 0 : this.earlierCount.entries);
    }

    private countLive(): number {
        const now = steadyNow();
        if (now - this.liveCount.at < countCacheMs) {
            return this.liveCount.live;
        }
        const live = [...this.entries.values()].filter(isLive).length;
        this.liveCount = { at: now, live };
        return live;
    }

    public async poll(req: PollRequest): Promise<PollResponse> {
        const { epoch } = this.control;
        const startedAt = steadyNow();
        if (epoch === undefined) {
            return this.createNotLeaderResponse();
        }
        if (req.probe) {
            return create(PollResponseSchema, { leads: true, controlUrls: [...this.control.controlUrls] });
        }
        const isNewEpoch = req.epoch !== epoch;
        if (isNewEpoch) {
            // The first response must include everything that earlier leaders acknowledged.
            await this.control.barrier();
        }
        this.recordPoll(req, isNewEpoch);
        this.recordEarlierCount(req, epoch);
        this.hostCapacities.record(req);
        if (!isNewEpoch) {
            await this.awaitChange(req, epoch);
        }
        return this.control.epoch === epoch
            ? this.createResponse(req, epoch, isNewEpoch, startedAt)
            : this.createNotLeaderResponse();
    }

    /**
     * Answers with the document that a majority has committed by now. If no majority answers in time, throws
     * `FailedPrecondition` on a host without a leader, which an entry may share its cut with, and `ResourceExhausted` on a
     * host that hears its leader: the group is late, and the entry that reaches it isn't cut off.
     */
    public async confirmDocument(req: ConfirmRequest): Promise<ConfirmResponse> {
        try {
            await this.confirmations.run();
        }
        catch (err) {
            throw new ConnectError(
                `no majority has confirmed the document: ${messageOf(err)}`,
                this.control.hasLeaderContact ? Code.ResourceExhausted : Code.FailedPrecondition,
            );
        }
        const { current, ageMs } = this.control.documents;
        const isNewer = current !== undefined && current.version > Number(req.documentVersion);
        const sendsText = isNewer && !req.versionOnly;
        this.log.info("configuration.confirmed", {
            entry: req.entry,
            version: current?.version,
            entryVersion: Number(req.documentVersion),
            sent: sendsText || undefined,
        });
        return create(ConfirmResponseSchema, {
            documentVersion: BigInt(current?.version ?? 0),
            documentText: sendsText ? current.text : "",
            documentAgeMs: isNewer ? Math.round(ageMs) : 0,
            controlUrls: [...this.control.controlUrls],
        });
    }

    /**
     * Resolves once every live entry has confirmed `position`, or after `timeoutMs`. Returns the entries that haven't; they
     * are told by the response to their next poll.
     */
    public async awaitConfirmation(position: number, timeoutMs: number): Promise<readonly string[]> {
        const deadline = steadyNow() + timeoutMs;
        this.wakePolls();
        while (eventLoop.readUntil < deadline && this.unconfirmedEntries(position).length > 0) {
            await this.confirmed.wait(deadline - eventLoop.readUntil);
        }
        const unconfirmed = this.unconfirmedEntries(position);
        if (unconfirmed.length > 0) {
            this.log.warn("feed.unconfirmed", { position, entries: unconfirmed });
        }
        return unconfirmed;
    }

    private unconfirmedEntries(position: number): string[] {
        return [...this.entries]
            .filter(([, entry]) => isLive(entry) && entry.position < position)
            .map(([name]) => name);
    }

    private recordPoll(req: PollRequest, isNewEpoch: boolean): void {
        if (!this.entries.has(req.entry)) {
            this.log.info("entry.known", { entry: req.entry });
            this.liveCount.at = Number.NEGATIVE_INFINITY;
        }
        this.entries.set(req.entry, {
            position: isNewEpoch ? 0 : Number(req.position),
            polledAt: steadyNow(),
            answeredAt: this.entries.get(req.entry)?.answeredAt ?? Number.NEGATIVE_INFINITY,
        });
        this.confirmed.notify();
    }

    private recordEarlierCount({ knownEntries }: PollRequest, epoch: string): void {
        const entries = this.earlierCount.epoch === epoch ? this.earlierCount.entries : 0;
        this.earlierCount = { epoch, entries: Math.max(entries, knownEntries) };
    }

    private async awaitChange(req: PollRequest, epoch: string): Promise<void> {
        const deadline = steadyNow() + req.waitMs;
        const wake = new Notifier();
        const poll: WaitingPoll = { req, wake, hasUpdates: false };
        this.waitingPolls.add(poll);
        try {
            for (;;) {
                const dueMs = this.updateDueMs(req);
                const leftMs = deadline - steadyNow();
                if (dueMs <= 0 || leftMs <= 0 || this.control.epoch !== epoch) {
                    break;
                }
                poll.hasUpdates = Number.isFinite(dueMs);
                await wake.wait(Math.min(dueMs, leftMs, Math.max(batchMs, maxQuorumAgeMs - this.control.quorumAgeMs)));
            }
            if (this.hasUpdates(req)) {
                await new Promise(resolve => setTimeout(resolve, batchMs));
            }
        }
        finally {
            this.waitingPolls.delete(poll);
        }
    }

    /** Milliseconds until pending changes are due at the entry; infinite if there are none. */
    private updateDueMs(req: PollRequest): number {
        if (!this.hasUpdates(req)) {
            return Number.POSITIVE_INFINITY;
        }
        if (this.isUrgent(req)) {
            return 0;
        }
        const { answeredAt } = this.entries.get(req.entry)!;
        return answeredAt + minResponseIntervalMs(this.liveEntries) - steadyNow();
    }

    /** Whether delaying the changes would misroute requests or keep them waiting. */
    private isUrgent(req: PollRequest): boolean {
        const position = Number(req.position);
        if (this.registry.urgentPosition > position || this.hasNewerState(req)) {
            return true;
        }
        const awaited = this.control.awaitedModels(req.entry);
        return awaited.size > 0
            && this.registry.changesSince(position).changed.some(({ service, models }) =>
                models.some(({ name, readyInMs }) => readyInMs === 0 && awaited.has(modelMapKey(service, name)))
            );
    }

    private hasUpdates(req: PollRequest): boolean {
        return this.registry.position > Number(req.position) || this.hasNewerState(req);
    }

    /** Whether there are changes of the replicated state, which are always urgent. */
    private hasNewerState(req: PollRequest): boolean {
        return this.hasNewerDocument(req) || this.hasNewerQuarantine(req) || this.hasNewerVersions(req);
    }

    /** Upstreams with a further version are held back only until entries should know of it. */
    private hasNewerVersions(req: PollRequest): boolean {
        const position = this.control.softwareVersions?.position;
        // An entry that names no position may be of a version that doesn't read them; it waits for other changes.
        return position !== undefined && req.softwareVersionPosition !== undefined
            && position !== Number(req.softwareVersionPosition);
    }

    /** Always urgent: each request that passes in the meantime may crash another upstream. */
    private hasNewerQuarantine(req: PollRequest): boolean {
        return this.control.quarantine.position > Number(req.quarantinePosition);
    }

    private hasNewerDocument(req: PollRequest): boolean {
        const document = this.control.documents.current;
        return document !== undefined && document.version > Number(req.documentVersion);
    }

    private createResponse(req: PollRequest, epoch: string, isNewEpoch: boolean, startedAt: number): PollResponse {
        const { control } = this;
        const changes = this.registry.changesSince(isNewEpoch ? -1 : Number(req.position));
        const document = this.hasNewerDocument(req) ? control.documents.current : undefined;
        if (document !== undefined) {
            this.log.info("configuration.sent", {
                entry: req.entry,
                version: document.version,
                entryVersion: Number(req.documentVersion),
                appliedAgeMs: Math.round(control.documents.ageMs),
            });
        }
        const state = this.entries.get(req.entry)!;
        state.polledAt = steadyNow();
        state.answeredAt = state.polledAt;
        return create(PollResponseSchema, {
            epoch,
            position: BigInt(changes.position),
            changed: changes.changed.map(encodeUpstream),
            removed: [...changes.removed],
            left: [...changes.departed],
            departures: changes.departures.map(encodeDeparture),
            term: BigInt(control.term),
            documentVersion: BigInt(document?.version ?? 0),
            documentText: document?.text ?? "",
            documentAgeMs: document === undefined ? 0 : Math.round(control.documents.ageMs),
            entries: this.liveEntries,
            complete: control.leadershipAgeMs > warmUpMs,
            controlUrls: [...control.controlUrls],
            waitedMs: Math.max(0, state.polledAt - startedAt - 1),
            quorumAgeMs: Math.ceil(control.quorumAgeMs) + 1,
            fingerprintKey: control.quarantine.key,
            host: this.hostCapacities.grantFor(req.entry, control),
            admission: this.admission.levels(epoch),
            ...encodeSoftwareVersions(
                control.softwareVersions,
                isNewEpoch ? undefined : req.softwareVersionPosition,
            ),
            ...encodeQuarantine(control.quarantine.changesSince(isNewEpoch ? 0 : Number(req.quarantinePosition))),
        });
    }

    private createNotLeaderResponse(): PollResponse {
        const { leaderUrl, controlUrls } = this.control;
        return create(PollResponseSchema, { notLeader: true, leaderUrl, controlUrls: [...controlUrls] });
    }
}
