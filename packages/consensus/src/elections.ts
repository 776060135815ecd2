/** Starts an election when no leader has been heard within the election timeout. */
import { create } from "@bufbuild/protobuf";
import { eventLoop, Notifier, steadyNow } from "@winchpath/core";
import { type VoteRequest, VoteRequestSchema } from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { quorumSize, votersOf } from "./members.js";
import { type PeerConnector } from "./peers.js";
import { type ReplicaState } from "./states.js";

/**
 * Random part of the election timeout, as a fraction of `electionMs`; makes split votes unlikely. A vote takes two round
 * trips and a sync, some milliseconds.
 */
const electionJitterFraction = 0.2;

export class Election {
    private readonly wake = new Notifier();
    private transferRequested = false;

    public constructor(
        private readonly state: ReplicaState,
        private readonly peers: PeerConnector,
        private readonly onElected: () => void,
    ) {}

    /** Starts an election without waiting for the timeout, on a leadership transfer. */
    public campaignNow(): void {
        this.transferRequested = true;
        this.wake.notify();
    }

    /** Runs until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.wake.wait(this.electionTimeoutMs());
            const shouldCampaign = this.transferRequested || !this.state.hasRecentLeader;
            if (signal.aborted || !shouldCampaign || !this.state.isVoter || this.state.role === "leader") {
                continue;
            }
            const isTransfer = this.transferRequested;
            this.transferRequested = false;
            await this.campaign(isTransfer);
        }
    }

    /** Wakes {@link run} so that it sees its aborted signal. */
    public stop(): void {
        this.wake.notify();
    }

    /** Time left until the next election, with random jitter. */
    private electionTimeoutMs(): number {
        const { electionMs } = this.state.options;
        const base = Math.max(0, electionMs - this.state.silentMs);
        return base + Math.random() * electionMs * electionJitterFraction;
    }

    private async campaign(isTransfer: boolean): Promise<void> {
        const { state } = this;
        if (!isTransfer && !await this.winsMajority(state.term + 1n, true, false)) {
            return;
        }
        if (!isTransfer && state.hasRecentLeader) {
            return;
        }
        const term = state.term + 1n;
        state.role = "candidate";
        state.leaderId = "";
        state.leaderUrl = "";
        state.timeline.record("leader.election", { detail: `term=${term}` });
        await state.setVote(term, state.memberId);
        const won = await this.winsMajority(term, false, isTransfer);
        if (won && state.term === term && state.role === "candidate") {
            this.onElected();
        }
        else if (state.role === "candidate") {
            state.role = "follower";
        }
    }

    /** Whether a majority grants its vote, or would grant it (`preVote`), to this replica. */
    private async winsMajority(term: bigint, preVote: boolean, isTransfer: boolean): Promise<boolean> {
        const { state } = this;
        const voters = votersOf(state.membership);
        const others = voters.filter(voter => voter.id !== state.memberId);
        const needed = quorumSize(voters.length);
        const responseReceived = new Notifier();
        let granted = voters.length - others.length;
        let responses = 0;
        for (const voter of others) {
            void this.requestVote(voter.url, this.createVoteRequest(voter.id, term, preVote, isTransfer)).then(
                isGranted => {
                    granted += isGranted ? 1 : 0;
                    responses += 1;
                    responseReceived.notify();
                },
            );
        }
        const deadline = steadyNow() + state.options.electionMs;
        while (granted < needed && responses < others.length && eventLoop.readUntil < deadline) {
            await responseReceived.wait(deadline - eventLoop.readUntil);
        }
        return granted >= needed;
    }

    private async requestVote(url: string, req: VoteRequest): Promise<boolean> {
        try {
            const res = await this.peers.connect(url).vote(req, this.state.options.electionMs);
            if (res.term > this.state.term) {
                await this.state.becomeFollower(res.term, "", "");
            }
            return res.granted;
        }
        catch {
            return false;
        }
    }

    private createVoteRequest(to: string, term: bigint, preVote: boolean, isTransfer: boolean): VoteRequest {
        const { state } = this;
        return create(VoteRequestSchema, {
            group: state.group,
            to,
            candidate: state.memberId,
            term,
            lastIndex: state.log.lastIndex,
            lastTerm: state.log.lastTerm,
            preVote,
            handover: isTransfer,
        });
    }
}
