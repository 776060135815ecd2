/** A control group within one process, with simulated crashes and network partitions. */
import { create } from "@bufbuild/protobuf";
import { Deferred, Failure, FailureCode, sleep, withTimeout } from "@winchpath/core";
import { Timeline } from "@winchpath/timeline";
import { type FileHandle, mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ProbeRequestSchema, ProbeResponseSchema } from "../gen/winchpath/consensus/v1/consensus_pb.js";
import {
    type CommandContext,
    type ConsensusOptions,
    defaultConsensusOptions,
    FileLogStore,
    type LogStore,
    MemoryLogStore,
    type Peer,
    type PeerConnector,
    PeerDiscovery,
    Replica,
    type StateMachine,
    SystemDisk,
} from "../index.js";

/** A state machine that records every applied command. */
export class ListMachine implements StateMachine {
    public commands: string[] = [];

    public apply(command: Uint8Array, _context: CommandContext): Uint8Array {
        this.commands.push(Buffer.from(command).toString());
        return Buffer.from(String(this.commands.length));
    }

    public snapshot(): Uint8Array {
        return Buffer.from(JSON.stringify(this.commands));
    }

    public restore(state: Uint8Array): void {
        this.commands = JSON.parse(Buffer.from(state).toString()) as string[];
    }
}

/** A disk that loses unsynced writes in a crash. */
class CrashableDisk extends SystemDisk {
    private crashed = false;
    private syncGate: Deferred<void> | undefined;
    private unsynced: Buffer[] = [];

    public override async write(_file: FileHandle, bytes: Buffer): Promise<void> {
        this.unsynced.push(bytes);
    }

    public override async sync(file: FileHandle): Promise<void> {
        await this.syncGate?.promise;
        const bytes = Buffer.concat(this.unsynced.splice(0));
        if (this.crashed) {
            throw Failure.of(FailureCode.storage, "the host has crashed");
        }
        await super.write(file, bytes);
    }

    /** Blocks syncs until {@link unblockSyncs}. */
    public blockSyncs(): void {
        this.syncGate = new Deferred();
    }

    public unblockSyncs(): void {
        this.syncGate?.resolve();
        this.syncGate = undefined;
    }

    public crash(): void {
        this.crashed = true;
        this.unblockSyncs();
    }
}

export interface TestNode {
    readonly name: string;
    readonly disk: CrashableDisk;
    readonly replica: Replica;
    readonly machine: ListMachine;
}

const options: ConsensusOptions = {
    ...defaultConsensusOptions,
    heartbeatMs: 10,
    electionMs: 60,
    snapshotEvery: 40,
    trailingEntries: 5,
    replaceVoterAfterMs: 100,
    removeLearnerAfterMs: 500,
};

const plannedStopTimeoutMs = 1500;

export class TestGroup {
    public readonly nodes = new Map<string, TestNode>();
    /** Hosts without a disk that only provide peer discovery. */
    private readonly discoveryHosts = new Map<string, PeerDiscovery>();
    public readonly seeds: string[];
    /** Whether nodes ignore requests to take over the leadership. */
    public ignoresElections = false;
    /** Time that each response of a node to the leader's entries takes to arrive, in milliseconds. */
    public responseDelayMs: (from: string) => number = () => 0;
    /** Cut links, each as "from>to". */
    private readonly cutLinks = new Set<string>();

    private constructor(
        private readonly folder: string,
        names: readonly string[],
        private readonly overrides: Partial<ConsensusOptions>,
    ) {
        this.seeds = names.map(name => `mem://${name}`);
    }

    public static async start(
        names: readonly string[],
        overrides: Partial<ConsensusOptions> = {},
    ): Promise<TestGroup> {
        const group = new TestGroup(await mkdtemp(join(tmpdir(), "winchpath-group-")), names, overrides);
        await Promise.all(names.map(name => group.startNode(name)));
        return group;
    }

    /** Starts nodes with the given seeds, of which `discoveryHosts` have no disk. */
    public static async startWithSeeds(
        seeds: readonly string[],
        discoveryHosts: readonly string[],
        names: readonly string[],
        mayFormGroup = true,
    ): Promise<TestGroup> {
        const group = new TestGroup(await mkdtemp(join(tmpdir(), "winchpath-group-")), seeds, {});
        discoveryHosts.forEach(host => group.replaceDiscoveryHost(host, mayFormGroup));
        await Promise.all(names.map(name => group.startNode(name)));
        return group;
    }

    /** Starts a discovery host without prior state. */
    public replaceDiscoveryHost(host: string, mayFormGroup = false): void {
        const context = { host, leaderUrl: () => "", memberUrls: () => [], mayFormGroup: () => mayFormGroup };
        this.discoveryHosts.set(host, new PeerDiscovery(context));
    }

    public discoveryHost(name: string): PeerDiscovery | undefined {
        return this.discoveryHosts.get(name);
    }

    public async startNode(name: string, store?: LogStore): Promise<TestNode> {
        const machine = new ListMachine();
        const url = `mem://${name}`;
        const disk = new CrashableDisk();
        const replica = await Replica.open({
            identity: { host: name, url },
            store: store ?? new FileLogStore(this.folderOf(name), disk),
            machine,
            peers: new PartitionablePeers(this, name),
            seeds: () => this.seeds,
            timeline: new Timeline({ process: name, host: name, dataCentre: "d" }),
            options: { ...options, ...this.overrides },
            onFatal: () => this.crash(name),
        });
        const node = { name, disk, replica, machine };
        this.nodes.set(name, node);
        replica.start();
        return node;
    }

    public startLearner(name: string): Promise<TestNode> {
        return this.startNode(name, new MemoryLogStore());
    }

    public folderOf(name: string): string {
        return join(this.folder, name);
    }

    public async crash(name: string): Promise<void> {
        const node = this.nodes.get(name);
        this.nodes.delete(name);
        node?.disk.crash();
        await node?.replica.stop();
    }

    /** Stops a node as planned: it hands leadership and vote over first. */
    public async stopAsPlanned(name: string): Promise<void> {
        const { replica } = this.nodes.get(name)!;
        await replica.transferLeadership(plannedStopTimeoutMs);
        await replica.handOverVote(plannedStopTimeoutMs);
        await this.crash(name);
    }

    public async deleteData(name: string): Promise<void> {
        await rm(this.folderOf(name), { recursive: true, force: true });
    }

    public cutLink(from: string, to: string): void {
        this.cutLinks.add(`${from}>${to}`);
    }

    /** Cuts all links between a node and the others, in both directions. */
    public isolate(name: string): void {
        const otherNames = new Set([...this.seeds.map(seed => seed.slice("mem://".length)), ...this.nodes.keys()]);
        otherNames.delete(name);
        otherNames.forEach(other => {
            this.cutLink(name, other);
            this.cutLink(other, name);
        });
    }

    public heal(): void {
        this.cutLinks.clear();
    }

    public reachableNode(from: string, to: string): TestNode {
        const node = this.nodes.get(to);
        if (node === undefined || (from !== to && this.cutLinks.has(`${from}>${to}`))) {
            throw Failure.of(FailureCode.unreachable, `${from} cannot reach ${to}`);
        }
        return node;
    }

    public async propose(name: string, command: string, timeoutMs = 5000): Promise<void> {
        await this.nodes.get(name)!.replica.propose(Buffer.from(command), timeoutMs);
    }

    /** Waits for a leader, optionally one of the given nodes, and returns it. */
    public async waitForLeader(among?: readonly string[]): Promise<TestNode> {
        return this.waitFor(
            "a leader",
            () =>
                [...this.nodes.values()].find(node =>
                    node.replica.readyLeadership !== undefined && (among === undefined || among.includes(node.name))
                ),
        );
    }

    /** Waits until `find` returns a value; checks again whenever the state of a node changes. */
    public async waitFor<T>(what: string, find: () => T | undefined, timeoutMs = 10_000): Promise<T> {
        const deadline = Date.now() + timeoutMs;
        for (;;) {
            const found = find();
            if (found !== undefined) {
                return found;
            }
            const remainingMs = deadline - Date.now();
            if (remainingMs <= 0) {
                throw Failure.of(FailureCode.timeout, `no ${what} within ${timeoutMs} ms`);
            }
            const changes = [...this.nodes.values()].map(node => node.replica.changed.wait(Math.min(remainingMs, 50)));
            await Promise.race([...changes, sleep(Math.min(remainingMs, 50))]);
        }
    }

    public async stop(): Promise<void> {
        await Promise.all([...this.nodes.keys()].map(name => this.crash(name)));
        await rm(this.folder, { recursive: true, force: true });
    }
}

/** Peers whose calls fail if the link in either direction is cut. */
class PartitionablePeers implements PeerConnector {
    public constructor(private readonly group: TestGroup, private readonly from: string) {}

    public connect(url: string): Peer {
        const to = url.slice("mem://".length);
        const call = async <T>(operation: (replica: Replica) => Promise<T> | T): Promise<T> => {
            await new Promise(resolve => setImmediate(resolve));
            const response = await operation(this.group.reachableNode(this.from, to).replica);
            this.group.reachableNode(to, this.from);
            return response;
        };
        return {
            vote: req => call(replica => replica.follower.vote(req)),
            append: req =>
                call(async replica => {
                    const res = await replica.follower.append(req);
                    const delayMs = this.group.responseDelayMs(to);
                    if (delayMs > 0) {
                        await sleep(delayMs);
                    }
                    return res;
                }),
            probe: async (_timeoutMs, sender) => {
                const host = this.group.discoveryHost(to);
                if (host !== undefined) {
                    return create(ProbeResponseSchema, host.handleProbe(create(ProbeRequestSchema, { ...sender })));
                }
                return call(({ state }) =>
                    create(ProbeResponseSchema, {
                        memberId: state.memberId,
                        group: state.group,
                        leaderUrl: state.leaderUrl,
                        host: state.identity.host,
                        hasDisk: state.store.durable,
                    })
                );
            },
            // Without a majority no change of members is ever committed.
            join: (member, timeoutMs) => withTimeout(call(replica => replica.join(member)), timeoutMs, "joining"),
            handOverVote: memberId => call(replica => replica.handOverVoteOf(memberId)),
            propose: command => call(replica => replica.proposeAsLeader(command)),
            readIndex: async timeoutMs => ({ index: await call(replica => replica.readIndex(timeoutMs)), term: 0n }),
            elect: term => call(replica => this.group.ignoresElections ? undefined : replica.campaign(term)),
        };
    }
}
