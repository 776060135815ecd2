/** Replicates the leader's log to one member. */
import { create } from "@bufbuild/protobuf";
import { messageOf, Notifier, sleep, steadyNow } from "@winchpath/core";
import {
    type AppendRequest,
    AppendRequestSchema,
    type AppendResponse,
} from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { findMember } from "./members.js";
import { type PeerConnector } from "./peers.js";
import { type ReplicaState } from "./states.js";

/** The part of the leadership that replication needs. */
export interface ReplicationLeader {
    readonly term: bigint;
    readonly active: boolean;
    /** Latest heartbeat round requested by a quorum read. */
    readonly heartbeatRound: bigint;
    /** Called after every response of the member. */
    onResponse(): void;
}

/** Maximum delay between retries for an unreachable member, in milliseconds. */
const maxBackoffMs = 1000;

export class Replication {
    /** Last index known to match the leader's log. */
    public matchIndex = 0n;
    /** Monotonic time from which on this leader has had the member in the membership. */
    public readonly startedAt = steadyNow();
    /** Latest heartbeat round acknowledged by the member. */
    public acknowledgedRound = 0n;
    /** Monotonic time of the last response. */
    public lastResponseAt = Number.NEGATIVE_INFINITY;
    /** Monotonic time at which the last request acknowledged in the leader's term was sent. */
    public lastConfirmedAt = Number.NEGATIVE_INFINITY;
    /** Notified when there are entries or a heartbeat to send. */
    public readonly wake = new Notifier();
    private nextIndex: bigint;

    public constructor(
        private readonly id: string,
        private readonly leader: ReplicationLeader,
        private readonly state: ReplicaState,
        private readonly peers: PeerConnector,
    ) {
        this.nextIndex = state.log.lastIndex + 1n;
    }

    /** Sends missing entries and heartbeats until the leadership ends or the member is removed. */
    public async run(): Promise<void> {
        const { heartbeatMs, electionMs } = this.state.options;
        let failures = 0;
        while (this.leader.active) {
            const member = findMember(this.state.membership, this.id);
            if (member === undefined) {
                return;
            }
            const { heartbeatRound: round } = this.leader;
            try {
                const req = this.createRequest();
                const sentAt = steadyNow();
                this.handleResponse(await this.peers.connect(member.url).append(req, electionMs), round, sentAt);
                failures = 0;
            }
            catch (err) {
                failures += 1;
                this.state.events.warn("append.failed", { member: member.url, error: messageOf(err) });
            }
            if (failures > 0) {
                // Ignores `wake`, so that an unreachable member is not called on every append.
                await sleep(Math.min(maxBackoffMs, heartbeatMs * 2 ** (failures - 1)));
            }
            else if (!this.isBehind()) {
                await this.wake.wait(heartbeatMs);
            }
        }
    }

    private isBehind(): boolean {
        return this.nextIndex <= this.state.log.lastIndex || this.acknowledgedRound < this.leader.heartbeatRound;
    }

    /** Request with the next entries, or with the snapshot if they have been compacted away. */
    private createRequest(): AppendRequest {
        const { state } = this;
        const { log } = state;
        const snapshot = this.nextIndex < log.firstIndex ? log.snapshot : undefined;
        if (snapshot !== undefined) {
            this.nextIndex = snapshot.index + 1n;
        }
        const previousIndex = this.nextIndex - 1n;
        return create(AppendRequestSchema, {
            group: state.group,
            to: this.id,
            leader: state.memberId,
            leaderUrl: state.identity.url,
            term: this.leader.term,
            previousIndex,
            previousTerm: log.termAt(previousIndex) ?? 0n,
            commitIndex: state.commitIndex,
            entries: snapshot === undefined ? log.batchFrom(this.nextIndex) : [],
            snapshot,
        });
    }

    private handleResponse(res: AppendResponse, round: bigint, sentAt: number): void {
        if (res.term > this.leader.term) {
            void this.state.becomeFollower(res.term, "", "");
            this.leader.onResponse();
            return;
        }
        this.lastResponseAt = steadyNow();
        this.lastConfirmedAt = sentAt;
        this.acknowledgedRound = round;
        if (res.accepted) {
            this.matchIndex = res.matchIndex > this.matchIndex ? res.matchIndex : this.matchIndex;
            this.nextIndex = this.matchIndex + 1n;
        }
        else {
            this.nextIndex = res.matchIndex + 1n;
        }
        this.leader.onResponse();
    }
}
