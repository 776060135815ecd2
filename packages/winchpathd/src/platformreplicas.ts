/** The consensus replica of a platform host with a disk. */
import {
    FileLogStore,
    type Replica,
    ReplicaSupervisor,
    RpcPeerConnector,
    type StateMachine,
} from "@winchpath/consensus";
import { type EventLog } from "@winchpath/core";
import { peerUrl } from "@winchpath/platform";
import { type RpcClients } from "@winchpath/rpc";
import { type Timeline } from "@winchpath/timeline";
import { type ReloadableSettings } from "./platformsettings.js";

/** Three heartbeats fit into one election timeout; shorter intervals cost CPU time on every control host. */
const heartbeatMs = 300;
/** Followers start an election after this long without a heartbeat, plus a random part of up to 20 percent. */
const electionMs = 1000;
/** Snapshots are frequent because configuration documents, and so log entries, may be large. */
const snapshotEvery = 64;
const trailing = 16;
const leadershipTransferTimeoutMs = 1500;
/** Covers an election after the leadership was transferred, or after the leader was lost meanwhile. */
const voteHandoverTimeoutMs = 2500;

const bytesPerMb = 1024 * 1024;
/** Used where the settings name no disk size. */
const defaultDiskMb = 64;
/**
 * Shares of the disk. While a log is compacted the old file (a snapshot, trailing and later commands, the last of which may
 * be uncommitted) and the new one (a snapshot, trailing commands) take 3/8 of it besides two snapshots and one command.
 */
const snapshotDiskShare = 1 / 8;
const uncommittedDiskShare = 1 / 8;
const trailingDiskShare = 1 / 16;

export interface PlatformReplicaOptions {
    readonly settings: ReloadableSettings;
    /** Creates the empty replicated state, each time that the replica is opened. */
    readonly machine: () => StateMachine;
    readonly clients: RpcClients;
    readonly timeline: Timeline;
    readonly log: EventLog;
}

export function createPlatformReplica(options: PlatformReplicaOptions): ReplicaSupervisor {
    const { settings, machine, clients, timeline, log } = options;
    const { current: cfg } = settings;
    const diskBytes = (cfg.hostLimits.diskMb || defaultDiskMb) * bytesPerMb;
    return new ReplicaSupervisor({
        identity: { host: cfg.host, url: peerUrl(cfg.peerAddress.host, cfg.peerAddress.port) },
        store: () => new FileLogStore(cfg.dataDirectory!),
        machine,
        peers: new RpcPeerConnector(clients),
        seeds: () => settings.current.seeds,
        timeline,
        options: {
            heartbeatMs,
            electionMs,
            snapshotEvery,
            trailingEntries: trailing,
            snapshotBytes: diskBytes * snapshotDiskShare,
            uncommittedBytes: diskBytes * uncommittedDiskShare,
            trailingBytes: diskBytes * trailingDiskShare,
            maxVoters: 2 * cfg.toleratedFailures + 1,
            mayFormGroup: cfg.firstStart,
        },
        log,
    });
}

/** Transfers leadership to another host before a planned stop; `replica`: undefined while the data folder is unusable. */
export async function handOverLeadership(replica: Replica | undefined): Promise<void> {
    await replica?.transferLeadership(leadershipTransferTimeoutMs);
}

/** Gives the vote to a learner before a planned stop, once leadership has been handed over. */
export async function handOverVote(replica: Replica | undefined): Promise<void> {
    await replica?.handOverVote(voteHandoverTimeoutMs);
}
