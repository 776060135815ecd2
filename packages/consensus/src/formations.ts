/** Cluster formation: finds and joins the control group, or forms it on the first start. */
import { create } from "@bufbuild/protobuf";
import { newId, sleep } from "@winchpath/core";
import {
    EntrySchema,
    type Member,
    MemberSchema,
    MembershipSchema,
    type ProbeResponse,
} from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { findMember } from "./members.js";
import { type PeerConnector } from "./peers.js";
import { type ReplicaState } from "./states.js";

const probeTimeoutMs = 500;
const joinTimeoutMs = 5000;
const discoveryRetryMs = 100;
/** Interval between checks that the replica is still a member of its group. */
const membershipCheckMs = 1000;
/** Time without a leader after which a member joins again, as it may have been removed from the group. */
const rejoinAfterMs = 3000;

interface ProbeResult {
    readonly url: string;
    readonly response: ProbeResponse;
}

export class Formation {
    private joins = true;

    public constructor(
        private readonly state: ReplicaState,
        private readonly peers: PeerConnector,
        /** URLs of the seed hosts; they may change while the process runs. */
        private readonly seeds: () => readonly string[],
    ) {}

    /** Leaves it to the next start to join again, since this replica is about to stop. */
    public stopJoining(): void {
        this.joins = false;
    }

    /** Keeps the replica a member of its group until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.joinOrFormGroup(signal);
            await sleep(membershipCheckMs, signal);
            if (!signal.aborted && this.joins && this.hasLostLeader()) {
                await this.rejoin();
            }
            else {
                this.announceToSeeds();
            }
        }
    }

    /**
     * Returns once the replica is a member of a group under its current URL.
     *
     * A new group is formed only if all seeds respond and none belongs to a group,
     * so that a host with an empty data folder can't form a second group during a
     * network partition.
     */
    public async joinOrFormGroup(signal: AbortSignal): Promise<void> {
        while (!signal.aborted && this.joins && !this.isMember()) {
            const results = await this.probeAll();
            const groupMembers = results.filter(result => result.response.group !== "");
            if (groupMembers.length > 0) {
                await this.joinThrough(groupMembers);
            }
            else {
                const founders = this.selectFounders(results);
                if (founders !== undefined) {
                    await this.formGroup(founders);
                }
            }
            if (!this.isMember()) {
                await sleep(discoveryRetryMs, signal);
            }
        }
    }

    /** Whether no leader was heard for so long that the group may have removed this member. */
    private hasLostLeader(): boolean {
        const { role, silentMs } = this.state;
        return role !== "leader" && silentMs > rejoinAfterMs;
    }

    /** Joins the group again; this changes nothing if the replica is still a member. */
    private async rejoin(): Promise<void> {
        const results = await this.probeAll();
        await this.joinThrough(results.filter(({ response }) => response.group === this.state.group));
    }

    /** Probes the seeds outside the group periodically, since they give this member's URL to other replicas. */
    private announceToSeeds(): void {
        const memberUrls = new Set(this.state.membership?.members.map(member => member.url));
        void this.probe(this.seeds().filter(url => !memberUrls.has(url)));
    }

    private isMember(): boolean {
        const { membership, memberId, identity, store } = this.state;
        const self = findMember(membership, memberId);
        // A member that has handed its vote over before its stop asks for one again.
        return self?.url === identity.url && (self.voter || self.wantsVote === store.durable);
    }

    /** Probes all seeds, the known members or a leader that has called, and the hosts that their responses list. */
    private async probeAll(): Promise<ProbeResult[]> {
        const { membership, callingLeaderUrl } = this.state;
        const memberUrls = membership?.members.map(member => member.url)
            ?? [callingLeaderUrl].filter(url => url !== "");
        const probedUrls = new Set([...this.seeds(), ...memberUrls]);
        const results = await this.probe([...probedUrls]);
        const discoveredUrls = new Set(
            results.flatMap(({ response }) => response.knownUrls).filter(url => !probedUrls.has(url)),
        );
        return [...results, ...await this.probe([...discoveredUrls])];
    }

    private async probe(urls: readonly string[]): Promise<ProbeResult[]> {
        const { memberId, identity, store } = this.state;
        const sender = store.durable ? { memberId, url: identity.url } : undefined;
        const probes = urls.map(async url => {
            try {
                return [{ url, response: await this.peers.connect(url).probe(probeTimeoutMs, sender) }];
            }
            catch {
                return [];
            }
        });
        return (await Promise.all(probes)).flat();
    }

    /**
     * Selects the initial voters besides this replica, if it is the one to form the group: the seed
     * with the lowest member id among those with a disk or, if no seed has a disk, the replica that
     * the first seed designates. Undefined if a seed does not respond or another replica forms the group.
     */
    private selectFounders(results: readonly ProbeResult[]): readonly ProbeResult[] | undefined {
        const { memberId, store, options, group } = this.state;
        const seeds = this.seeds();
        const seedResults = results.filter(({ url }) => seeds.includes(url));
        if (!options.mayFormGroup || !store.durable || group !== "" || seedResults.length < seeds.length) {
            return undefined;
        }
        const durable = seedResults.filter(({ response }) => response.hasDisk);
        if (durable.length > 0) {
            const ids = durable.map(({ response }) => response.memberId).sort();
            return ids[0] === memberId ? durable : undefined;
        }
        const firstSeed = [...seeds].sort()[0];
        const founderId = seedResults.find(({ url }) => url === firstSeed)?.response.founder;
        return founderId === memberId ? [] : undefined;
    }

    private async formGroup(founders: readonly ProbeResult[]): Promise<void> {
        const { memberId, identity } = this.state;
        const others = founders.filter(({ response }) => response.memberId !== memberId);
        const members = [
            create(MemberSchema, { id: memberId, ...identity, voter: true, wantsVote: true }),
            ...others.map(({ url, response }) =>
                create(MemberSchema, { id: response.memberId, host: response.host, url, voter: true, wantsVote: true })
            ),
        ];
        const membership = create(MembershipSchema, { group: newId(), members });
        const entry = create(EntrySchema, {
            index: 1n,
            term: 1n,
            time: BigInt(Date.now()),
            payload: { case: "membership", value: membership },
        });
        const synced = this.state.append([entry]);
        await Promise.all([synced, this.state.setVote(1n, this.state.memberId)]);
        this.state.timeline.record("group.formed", { detail: `voters=${members.map(member => member.host).sort()}` });
    }

    private async joinThrough(results: readonly ProbeResult[]): Promise<void> {
        const urls = results.flatMap(result => [result.response.leaderUrl, result.url]).filter(url => url !== "");
        for (const url of new Set(urls)) {
            try {
                await this.peers.connect(url).join(this.ownMember(), joinTimeoutMs);
                return;
            }
            catch {
                // Another replica may know the leader.
            }
        }
    }

    private ownMember(): Member {
        const { memberId, identity, store } = this.state;
        return create(MemberSchema, { id: memberId, ...identity, voter: false, wantsVote: store.durable });
    }
}
