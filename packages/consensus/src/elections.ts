/** The task that stands for election when no leader is heard. */
import { create } from "@bufbuild/protobuf";
import { Notifier, steadyNow } from "@winchpath/core";
import { type VoteRequest, VoteRequestSchema } from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { majorityOf, votersOf } from "./members.js";
import { type PeerConnector } from "./peers.js";
import { type ReplicaState } from "./states.js";

/**
 * Candidates stand within this share of an election time of each other. A vote
 * takes two round trips and a sync, some milliseconds, so two seldom meet; and a
 * group that was started whole, which hears nobody, elects within it.
 */
const spreadShare = 0.2;

export class Election {
    private readonly wake = new Notifier();
    private handover = false;

    public constructor(
        private readonly state: ReplicaState,
        private readonly peers: PeerConnector,
        private readonly onElected: () => void,
    ) {}

    /** Stands at once, as the leader that hands over has asked. */
    public standNow(): void {
        this.handover = true;
        this.wake.notify();
    }

    /** Runs until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.wake.wait(this.timeout());
            const due = this.handover || !this.state.hearsLeader;
            if (signal.aborted || !due || !this.state.isVoter || this.state.role === "leader") {
                continue;
            }
            const handover = this.handover;
            this.handover = false;
            await this.stand(handover);
        }
    }

    /** Ends the wait of {@link run}, after its signal was aborted. */
    public stop(): void {
        this.wake.notify();
    }

    /** Random, so that two candidates seldom stand together. */
    private timeout(): number {
        const { electionMs } = this.state.options;
        const sinceHeard = steadyNow() - this.state.lastHeard;
        const base = Math.max(0, electionMs - sinceHeard);
        return base + Math.random() * electionMs * spreadShare;
    }

    private async stand(handover: boolean): Promise<void> {
        const { state } = this;
        if (!handover && !await this.poll(state.term + 1n, true, false)) {
            return;
        }
        if (!handover && state.hearsLeader) {
            return;
        }
        const term = state.term + 1n;
        state.role = "candidate";
        state.leaderId = "";
        state.leaderUrl = "";
        state.timeline.record("leader.election", { detail: `term=${term}` });
        await state.setVote(term, state.memberId);
        const won = await this.poll(term, false, handover);
        if (won && state.term === term && state.role === "candidate") {
            this.onElected();
        }
        else if (state.role === "candidate") {
            state.role = "follower";
        }
    }

    /** Whether a majority would vote, or has voted, for this replica. */
    private async poll(term: bigint, preVote: boolean, handover: boolean): Promise<boolean> {
        const { state } = this;
        const voters = votersOf(state.membership);
        const others = voters.filter(voter => voter.id !== state.memberId);
        const needed = majorityOf(voters.length);
        const decided = new Notifier();
        let granted = voters.length - others.length;
        let answers = 0;
        for (const voter of others) {
            void this.ask(voter.url, this.request(voter.id, term, preVote, handover)).then(yes => {
                granted += yes ? 1 : 0;
                answers += 1;
                decided.notify();
            });
        }
        const deadline = steadyNow() + state.options.electionMs;
        while (granted < needed && answers < others.length && steadyNow() < deadline) {
            await decided.wait(deadline - steadyNow());
        }
        return granted >= needed;
    }

    private async ask(url: string, req: VoteRequest): Promise<boolean> {
        try {
            const res = await this.peers.connect(url).vote(req, this.state.options.electionMs);
            if (res.term > this.state.term) {
                await this.state.follow(res.term, "", "");
            }
            return res.granted;
        }
        catch {
            return false;
        }
    }

    private request(to: string, term: bigint, preVote: boolean, handover: boolean): VoteRequest {
        const { state } = this;
        return create(VoteRequestSchema, {
            group: state.group,
            to,
            candidate: state.memberId,
            term,
            lastIndex: state.log.lastIndex,
            lastTerm: state.log.lastTerm,
            preVote,
            handover,
        });
    }
}
