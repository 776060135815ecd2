/** How a replica without a group finds one, or forms the first: docs/DESIGN.md has the rules. */
import { create } from "@bufbuild/protobuf";
import { newIdentity, sleep, steadyNow } from "@winchpath/core";
import {
    EntrySchema,
    type Member,
    MemberSchema,
    MembershipSchema,
    type ProbeResponse,
} from "./gen/winchpath/consensus/v1/consensus_pb.js";
import { type PeerConnector } from "./peers.js";
import { type ReplicaState } from "./states.js";

const probeTimeoutMs = 500;
const joinTimeoutMs = 5000;
const retryMs = 100;
/** How often a member looks whether it still belongs to the group, in milliseconds. */
const checkMs = 1000;
/** Without a leader for this long, a member asks to be let in again: it may have been replaced meanwhile. */
const rejoinAfterMs = 3000;

interface Found {
    readonly url: string;
    readonly answer: ProbeResponse;
}

export class Formation {
    public constructor(
        private readonly state: ReplicaState,
        private readonly peers: PeerConnector,
        /** URLs of hosts that hold the control state; they may change while the process runs. */
        private readonly seeds: () => readonly string[],
    ) {}

    /** Keeps the replica a member of its group until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.establish(signal);
            await sleep(checkMs, signal);
            if (!signal.aborted && this.isLost()) {
                await this.rejoin();
            }
            else {
                this.introduce();
            }
        }
    }

    /**
     * Returns once the replica belongs to a group under its present URL.
     *
     * A first group is formed only when every seed answers and nobody knows of a
     * group, so that a host with an empty folder can't form a second one while
     * the others are merely out of reach.
     */
    public async establish(signal: AbortSignal): Promise<void> {
        while (!signal.aborted && !this.isEstablished()) {
            const found = await this.probeAll();
            const grouped = found.filter(seed => seed.answer.group !== "");
            if (grouped.length > 0) {
                await this.joinThrough(grouped);
            }
            else {
                const founders = this.founders(found);
                if (founders !== undefined) {
                    await this.form(founders);
                }
            }
            if (!this.isEstablished()) {
                await sleep(retryMs, signal);
            }
        }
    }

    /** Whether no leader was heard for so long that the group may go on without this member. */
    private isLost(): boolean {
        const { role, lastHeard } = this.state;
        return role !== "leader" && steadyNow() - lastHeard > rejoinAfterMs;
    }

    /** A member that still belongs to the group is left as it is by this. */
    private async rejoin(): Promise<void> {
        const found = await this.probeAll();
        await this.joinThrough(found.filter(({ answer }) => answer.group === this.state.group));
    }

    /** Seeds outside the group lead others to it: they are told of this member again and again. */
    private introduce(): void {
        const members = new Set(this.state.membership?.members.map(member => member.url));
        void this.probe(this.seeds().filter(url => !members.has(url)));
    }

    private isEstablished(): boolean {
        const self = this.state.membership?.members.find(member => member.id === this.state.memberId);
        return self?.url === this.state.identity.url;
    }

    /** Asks all seeds, the members that this replica remembers, and the hosts that those name. */
    private async probeAll(): Promise<Found[]> {
        const remembered = this.state.membership?.members.map(member => member.url) ?? [];
        const asked = new Set([...this.seeds(), ...remembered]);
        const found = await this.probe([...asked]);
        const named = new Set(found.flatMap(({ answer }) => answer.knownUrls).filter(url => !asked.has(url)));
        return [...found, ...await this.probe([...named])];
    }

    private async probe(urls: readonly string[]): Promise<Found[]> {
        const { memberId, identity, store } = this.state;
        const asker = store.durable ? { memberId, url: identity.url } : undefined;
        const probes = urls.map(async url => {
            try {
                return [{ url, answer: await this.peers.connect(url).probe(probeTimeoutMs, asker) }];
            }
            catch {
                return [];
            }
        });
        return (await Promise.all(probes)).flat();
    }

    /**
     * Who forms the first group: the seeds that have a disk, by the one with the
     * lowest identity; where no seed has one, the replica that the first seed has named.
     * Undefined while a seed does not answer, or where it is for another to do.
     */
    private founders(found: readonly Found[]): readonly Found[] | undefined {
        const { memberId, store, options, group } = this.state;
        const seeds = this.seeds();
        const answered = found.filter(({ url }) => seeds.includes(url));
        if (!options.mayForm || !store.durable || group !== "" || answered.length < seeds.length) {
            return undefined;
        }
        const durable = answered.filter(({ answer }) => answer.hasDisk);
        if (durable.length > 0) {
            const ids = durable.map(({ answer }) => answer.memberId).sort();
            return ids[0] === memberId ? durable : undefined;
        }
        const first = [...seeds].sort()[0];
        const named = answered.find(({ url }) => url === first)?.answer.founder;
        return named === memberId ? [] : undefined;
    }

    private async form(founders: readonly Found[]): Promise<void> {
        const { memberId, identity } = this.state;
        const others = founders.filter(({ answer }) => answer.memberId !== memberId);
        const members = [
            create(MemberSchema, { id: memberId, ...identity, voter: true, wantsVote: true }),
            ...others.map(({ url, answer }) =>
                create(MemberSchema, { id: answer.memberId, host: answer.host, url, voter: true, wantsVote: true })
            ),
        ];
        const membership = create(MembershipSchema, { group: newIdentity(), members });
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

    private async joinThrough(found: readonly Found[]): Promise<void> {
        const urls = found.flatMap(seed => [seed.answer.leaderUrl, seed.url]).filter(url => url !== "");
        for (const url of new Set(urls)) {
            try {
                await this.peers.connect(url).join(this.self(), joinTimeoutMs);
                return;
            }
            catch {
                // The next one may know the leader.
            }
        }
    }

    private self(): Member {
        const { memberId, identity, store } = this.state;
        return create(MemberSchema, { id: memberId, ...identity, voter: false, wantsVote: store.durable });
    }
}
