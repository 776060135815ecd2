/** A control group in one process, over a network that tests cut. */
import { create } from "@bufbuild/protobuf";
import { Deferred, Failure, FailureCode, sleep } from "@winchpath/core";
import { Timeline } from "@winchpath/timeline";
import { type FileHandle, mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ProbeRequestSchema, ProbeResponseSchema } from "../gen/winchpath/consensus/v1/consensus_pb.js";
import {
    type CommandContext,
    type ConsensusOptions,
    ConsensusRelay,
    defaultConsensusOptions,
    FileLogStore,
    type LogStore,
    MemoryLogStore,
    type Peer,
    type PeerConnector,
    Replica,
    type StateMachine,
    SystemDisk,
} from "../index.js";

/** Keeps every command; the naive version of a replicated state. */
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

/** A disk that loses at a crash what was written and not synced. */
class LosingDisk extends SystemDisk {
    private lost = false;
    private held: Deferred<void> | undefined;
    private unsynced: Buffer[] = [];

    public override async write(_file: FileHandle, bytes: Buffer): Promise<void> {
        this.unsynced.push(bytes);
    }

    public override async sync(file: FileHandle): Promise<void> {
        await this.held?.promise;
        const bytes = Buffer.concat(this.unsynced.splice(0));
        if (this.lost) {
            throw Failure.of(FailureCode.storage, "the host has crashed");
        }
        await super.write(file, bytes);
    }

    /** Syncs end only after `release`. */
    public hold(): void {
        this.held = new Deferred();
    }

    public release(): void {
        this.held?.resolve();
        this.held = undefined;
    }

    public crash(): void {
        this.lost = true;
        this.release();
    }
}

export interface Node {
    readonly name: string;
    readonly disk: LosingDisk;
    readonly replica: Replica;
    readonly machine: ListMachine;
}

const options: ConsensusOptions = {
    ...defaultConsensusOptions,
    heartbeatMs: 10,
    electionMs: 60,
    snapshotEvery: 40,
    trailing: 5,
    replaceAfterMs: 100,
    forgetAfterMs: 500,
};

export class Group {
    public readonly nodes = new Map<string, Node>();
    /** Hosts without a disk that only introduce others to each other. */
    private readonly relays = new Map<string, ConsensusRelay>();
    public readonly seeds: string[];
    /** Links that are cut, "from>to". */
    private readonly cuts = new Set<string>();

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
    ): Promise<Group> {
        const group = new Group(await mkdtemp(join(tmpdir(), "winchpath-group-")), names, overrides);
        await Promise.all(names.map(name => group.startNode(name)));
        return group;
    }

    /** Starts nodes that are told of other hosts as seeds, of which `relays` have no disk. */
    public static async startBehind(
        seeds: readonly string[],
        relays: readonly string[],
        names: readonly string[],
        mayForm = true,
    ): Promise<Group> {
        const group = new Group(await mkdtemp(join(tmpdir(), "winchpath-group-")), seeds, {});
        relays.forEach(relay => group.replaceRelay(relay, mayForm));
        await Promise.all(names.map(name => group.startNode(name)));
        return group;
    }

    /** Starts a relay that knows nothing yet. */
    public replaceRelay(host: string, mayForm = false): void {
        const known = { host, leaderUrl: () => "", memberUrls: () => [], mayForm: () => mayForm };
        this.relays.set(host, new ConsensusRelay(known));
    }

    public relay(name: string): ConsensusRelay | undefined {
        return this.relays.get(name);
    }

    public async startNode(name: string, store?: LogStore): Promise<Node> {
        const machine = new ListMachine();
        const url = `mem://${name}`;
        const disk = new LosingDisk();
        const replica = await Replica.open({
            identity: { host: name, url },
            store: store ?? new FileLogStore(this.folderOf(name), disk),
            machine,
            peers: new CuttablePeers(this, name),
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

    public startLearner(name: string): Promise<Node> {
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

    public async wipe(name: string): Promise<void> {
        await rm(this.folderOf(name), { recursive: true, force: true });
    }

    public cut(from: string, to: string): void {
        this.cuts.add(`${from}>${to}`);
    }

    /** Cuts a node off from all others, both ways. */
    public isolate(name: string): void {
        const others = new Set([...this.seeds.map(seed => seed.slice("mem://".length)), ...this.nodes.keys()]);
        others.delete(name);
        others.forEach(other => {
            this.cut(name, other);
            this.cut(other, name);
        });
    }

    public heal(): void {
        this.cuts.clear();
    }

    public reach(from: string, to: string): Node {
        const node = this.nodes.get(to);
        if (node === undefined || (from !== to && this.cuts.has(`${from}>${to}`))) {
            throw Failure.of(FailureCode.unreachable, `${from} does not reach ${to}`);
        }
        return node;
    }

    public async propose(name: string, command: string, timeoutMs = 5000): Promise<void> {
        await this.nodes.get(name)!.replica.propose(Buffer.from(command), timeoutMs);
    }

    /** Waits until one node leads, and gives it. */
    public async leader(among?: readonly string[]): Promise<Node> {
        return this.eventually(
            "a leader",
            () =>
                [...this.nodes.values()].find(node =>
                    node.replica.leading !== undefined && (among === undefined || among.includes(node.name))
                ),
        );
    }

    /** Waits for `find` to give something, looking again whenever any node's state changes. */
    public async eventually<T>(what: string, find: () => T | undefined, timeoutMs = 10_000): Promise<T> {
        const deadline = Date.now() + timeoutMs;
        for (;;) {
            const found = find();
            if (found !== undefined) {
                return found;
            }
            const left = deadline - Date.now();
            if (left <= 0) {
                throw Failure.of(FailureCode.timeout, `no ${what} within ${timeoutMs} ms`);
            }
            const changes = [...this.nodes.values()].map(node => node.replica.changed.wait(Math.min(left, 50)));
            await Promise.race([...changes, sleep(Math.min(left, 50))]);
        }
    }

    public async stop(): Promise<void> {
        await Promise.all([...this.nodes.keys()].map(name => this.crash(name)));
        await rm(this.folder, { recursive: true, force: true });
    }
}

/** Calls that fail on a cut link, before the call or on the way back. */
class CuttablePeers implements PeerConnector {
    public constructor(private readonly group: Group, private readonly from: string) {}

    public connect(url: string): Peer {
        const to = url.slice("mem://".length);
        const call = async <T>(work: (replica: Replica) => Promise<T> | T): Promise<T> => {
            await new Promise(resolve => setImmediate(resolve));
            const answer = await work(this.group.reach(this.from, to).replica);
            this.group.reach(to, this.from);
            return answer;
        };
        return {
            vote: req => call(replica => replica.follower.vote(req)),
            append: req => call(replica => replica.follower.append(req)),
            probe: async (_timeoutMs, asker) => {
                const relay = this.group.relay(to);
                if (relay !== undefined) {
                    return create(ProbeResponseSchema, relay.answer(create(ProbeRequestSchema, { ...asker })));
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
            join: member => call(replica => replica.join(member)),
            propose: command => call(replica => replica.proposeHere(command)),
            readIndex: async timeoutMs => ({ index: await call(replica => replica.readIndex(timeoutMs)), term: 0n }),
            elect: term => call(replica => replica.elect(term)),
        };
    }
}
