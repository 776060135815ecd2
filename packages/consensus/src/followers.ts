/** Handles vote and append requests from other replicas. */
import { create } from "@bufbuild/protobuf";
import { Failure, FailureCode, steadyNow } from "@winchpath/core";
import { type Applier } from "./appliers.js";
import {
    type AppendRequest,
    type AppendResponse,
    AppendResponseSchema,
    type Entry,
    type VoteRequest,
    type VoteResponse,
    VoteResponseSchema,
} from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { type ReplicaState } from "./states.js";

export class Follower {
    public constructor(private readonly state: ReplicaState, private readonly applier: Applier) {}

    /** Handles a vote request; a granted vote is synced before the response. */
    public async vote(req: VoteRequest): Promise<VoteResponse> {
        this.checkRecipient(req.group, req.to);
        const { state } = this;
        if (!req.handover && state.hasRecentLeader) {
            return this.voteResponse(false);
        }
        if (req.preVote) {
            return this.voteResponse(req.term > state.term && this.isUpToDate(req));
        }
        if (req.term < state.term) {
            return this.voteResponse(false);
        }
        const termSynced = req.term > state.term ? state.becomeFollower(req.term, "", "") : Promise.resolve();
        const canVote = state.votedFor === "" || state.votedFor === req.candidate;
        const granted = canVote && this.isUpToDate(req);
        const term = state.term;
        if (granted) {
            state.lastHeardAt = steadyNow();
            await state.setVote(term, req.candidate);
        }
        await termSynced;
        return create(VoteResponseSchema, { term, granted });
    }

    /** Appends the leader's entries or installs its snapshot; both are synced before the response. */
    public async append(req: AppendRequest): Promise<AppendResponse> {
        const { state } = this;
        if (state.group === "") {
            state.callingLeaderUrl = req.leaderUrl;
        }
        this.checkRecipient(req.group, req.to);
        if (req.term < state.term) {
            return this.appendResponse(false, 0n);
        }
        const termSynced = state.becomeFollower(req.term, req.leader, req.leaderUrl);
        state.lastHeardAt = steadyNow();
        if (req.snapshot !== undefined && req.snapshot.index > state.commitIndex) {
            const { index } = req.snapshot;
            state.timeline.record("log.snapshot-installed", { detail: `index=${index}` });
            await this.applier.installSnapshot(req.snapshot);
            return this.appendResponse(true, index);
        }
        if (!this.matchesLog(req.previousIndex, req.previousTerm)) {
            await termSynced;
            return this.appendResponse(false, this.conflictHint(req.previousIndex));
        }
        await Promise.all([termSynced, this.appendEntries(req.entries)]);
        const matchIndex = req.previousIndex + BigInt(req.entries.length);
        this.applier.commitTo(req.commitIndex < matchIndex ? req.commitIndex : matchIndex);
        return this.appendResponse(true, matchIndex);
    }

    /** Rejects requests for another member or group: a replica whose disk was replaced has a new identity. */
    private checkRecipient(group: string, to: string): void {
        if (to !== this.state.memberId || (this.state.group !== "" && group !== this.state.group)) {
            throw Failure.of(FailureCode.notFound, `no member ${to} of group ${group} here`);
        }
    }

    private isUpToDate(req: VoteRequest): boolean {
        const { lastTerm, lastIndex } = this.state.log;
        return req.lastTerm > lastTerm || (req.lastTerm === lastTerm && req.lastIndex >= lastIndex);
    }

    private matchesLog(index: bigint, term: bigint): boolean {
        // Committed entries are in the log of every later leader.
        return index <= this.state.commitIndex || this.state.log.termAt(index) === term;
    }

    /** Last index that may match the leader's log: the one before the conflicting term. */
    private conflictHint(previousIndex: bigint): bigint {
        const { log, commitIndex } = this.state;
        if (previousIndex > log.lastIndex) {
            return log.lastIndex;
        }
        const conflictingTerm = log.termAt(previousIndex);
        let index = previousIndex - 1n;
        while (index > commitIndex && log.termAt(index) === conflictingTerm) {
            index -= 1n;
        }
        return index;
    }

    private appendEntries(entries: readonly Entry[]): Promise<void> {
        const { state } = this;
        const uncommitted = entries.filter(entry => entry.index > state.commitIndex);
        const firstDivergent = uncommitted.findIndex(entry => state.log.termAt(entry.index) !== entry.term);
        if (firstDivergent === -1) {
            // Waits for the sync of an earlier copy of the request.
            return state.append([]);
        }
        if (uncommitted[firstDivergent].index <= state.log.lastIndex) {
            state.truncateFrom(uncommitted[firstDivergent].index);
        }
        return state.append(uncommitted.slice(firstDivergent));
    }

    private voteResponse(granted: boolean): VoteResponse {
        return create(VoteResponseSchema, { term: this.state.term, granted });
    }

    private appendResponse(accepted: boolean, matchIndex: bigint): AppendResponse {
        return create(AppendResponseSchema, { term: this.state.term, accepted, matchIndex });
    }
}
