/** The follower's side: votes, and entries from the leader. */
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

    /** Answers a candidate; a given vote is synced before the answer. */
    public async vote(req: VoteRequest): Promise<VoteResponse> {
        this.checkAddress(req.group, req.to);
        const { state } = this;
        if (!req.handover && state.hearsLeader) {
            return this.voteResponse(false);
        }
        if (req.preVote) {
            return this.voteResponse(req.term > state.term && this.isUpToDate(req));
        }
        if (req.term < state.term) {
            return this.voteResponse(false);
        }
        const newer = req.term > state.term ? state.follow(req.term, "", "") : Promise.resolve();
        const free = state.votedFor === "" || state.votedFor === req.candidate;
        const granted = free && this.isUpToDate(req);
        const term = state.term;
        if (granted) {
            state.lastHeard = steadyNow();
            await state.setVote(term, req.candidate);
        }
        await newer;
        return create(VoteResponseSchema, { term, granted });
    }

    /** Takes in the leader's entries; they are synced before the answer. */
    public async append(req: AppendRequest): Promise<AppendResponse> {
        this.checkAddress(req.group, req.to);
        const { state } = this;
        if (req.term < state.term) {
            return this.appendResponse(false, 0n);
        }
        const newer = state.follow(req.term, req.leader, req.leaderUrl);
        state.lastHeard = steadyNow();
        if (req.snapshot !== undefined && req.snapshot.index > state.commitIndex) {
            const { index } = req.snapshot;
            state.timeline.record("log.snapshot-installed", { detail: `index=${index}` });
            await this.applier.install(req.snapshot);
            return this.appendResponse(true, index);
        }
        if (!this.agreesAt(req.previousIndex, req.previousTerm)) {
            await newer;
            return this.appendResponse(false, this.lastPossibleMatch(req.previousIndex));
        }
        await Promise.all([newer, this.take(req.entries)]);
        const match = req.previousIndex + BigInt(req.entries.length);
        this.applier.commitTo(req.commitIndex < match ? req.commitIndex : match);
        return this.appendResponse(true, match);
    }

    /** A replica answers only to its own identity: one with a new disk is another member. */
    private checkAddress(group: string, to: string): void {
        if (to !== this.state.memberId || (this.state.group !== "" && group !== this.state.group)) {
            throw Failure.of(FailureCode.notFound, `no member ${to} of group ${group} here`);
        }
    }

    private isUpToDate(req: VoteRequest): boolean {
        const { lastTerm, lastIndex } = this.state.log;
        return req.lastTerm > lastTerm || (req.lastTerm === lastTerm && req.lastIndex >= lastIndex);
    }

    private agreesAt(index: bigint, term: bigint): boolean {
        // What is committed agrees with every later leader.
        return index <= this.state.commitIndex || this.state.log.termAt(index) === term;
    }

    /** Where the leader should go on: before the term that does not agree. */
    private lastPossibleMatch(previousIndex: bigint): bigint {
        const { log, commitIndex } = this.state;
        if (previousIndex > log.lastIndex) {
            return log.lastIndex;
        }
        const badTerm = log.termAt(previousIndex);
        let index = previousIndex - 1n;
        while (index > commitIndex && log.termAt(index) === badTerm) {
            index -= 1n;
        }
        return index;
    }

    private take(entries: readonly Entry[]): Promise<void> {
        const { state } = this;
        const fresh = entries.filter(entry => entry.index > state.commitIndex);
        const firstNew = fresh.findIndex(entry => state.log.termAt(entry.index) !== entry.term);
        if (firstNew === -1) {
            // An earlier copy of the request may still be waiting for its sync.
            return state.append([]);
        }
        if (fresh[firstNew].index <= state.log.lastIndex) {
            state.truncateFrom(fresh[firstNew].index);
        }
        return state.append(fresh.slice(firstNew));
    }

    private voteResponse(granted: boolean): VoteResponse {
        return create(VoteResponseSchema, { term: this.state.term, granted });
    }

    private appendResponse(accepted: boolean, matchIndex: bigint): AppendResponse {
        return create(AppendResponseSchema, { term: this.state.term, accepted, matchIndex });
    }
}
