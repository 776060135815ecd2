import { silentLog } from "@winchpath/core";
import { Timeline } from "@winchpath/timeline";
import { expect } from "earl";
import { type FileHandle, mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { FileLogStore, type PeerConnector, ReplicaSupervisor, SystemDisk } from "../index.js";
import { ListMachine } from "./groups.js";

/** A disk that rejects all writes while it is full. */
class FillableDisk extends SystemDisk {
    public full = false;

    public override async write(file: FileHandle, bytes: Buffer): Promise<void> {
        if (this.full) {
            throw Object.assign(new Error("no space left on device"), { code: "ENOSPC" });
        }
        await super.write(file, bytes);
    }
}

const url = "mem://a";
const longTimeoutMs = 10_000;
const shortTimeoutMs = 200;

describe("ReplicaSupervisor", () => {
    const stopping = new AbortController();
    let folder: string;
    let disk: FillableDisk;
    let machine: ListMachine;
    let supervisor: ReplicaSupervisor;
    let supervision: Promise<void>;

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "winchpath-keeper-"));
        disk = new FillableDisk();
        supervisor = new ReplicaSupervisor({
            identity: { host: "a", url },
            store: () => new FileLogStore(folder, disk),
            machine: () => machine = new ListMachine(),
            peers: loopbackPeers(() => supervisor),
            seeds: [url],
            timeline: new Timeline({ process: "a", host: "a", dataCentre: "d" }),
            options: { heartbeatMs: 10, electionMs: 60 },
            log: silentLog,
        });
        supervision = supervisor.run(stopping.signal);
        await until(() => supervisor.current !== undefined);
    });

    afterEach(async () => {
        stopping.abort();
        await supervision;
        await rm(folder, { recursive: true, force: true });
    });

    async function until(condition: () => boolean): Promise<void> {
        while (!condition()) {
            await supervisor.changed.wait(shortTimeoutMs);
        }
    }

    it("acknowledges no commands while its disk is full, and recovers once space is available", async () => {
        await supervisor.require().propose(Buffer.from("before"), longTimeoutMs);
        disk.full = true;
        await expect(supervisor.require().propose(Buffer.from("unsynced"), shortTimeoutMs)).toBeRejected();
        await until(() => supervisor.current === undefined);
        expect(() => supervisor.require()).toThrow();
        disk.full = false;
        await until(() => supervisor.current !== undefined);
        await supervisor.require().propose(Buffer.from("after"), longTimeoutMs);
        expect(machine.commands).toEqual(["before", "after"]);
    });
});

/** Peers of a single-member group, which only probes itself. */
function loopbackPeers(supervisor: () => ReplicaSupervisor): PeerConnector {
    return {
        connect: () => ({
            probe: async () => {
                const { state } = supervisor().require();
                const { memberId, group, leaderUrl, identity } = state;
                return {
                    $typeName: "winchpath.consensus.v1.ProbeResponse",
                    memberId,
                    group,
                    leaderUrl,
                    term: state.term,
                    host: identity.host,
                    hasDisk: true,
                    appliedIndex: state.appliedIndex,
                    knownUrls: [],
                    founder: "",
                };
            },
            vote: unexpectedCall,
            append: unexpectedCall,
            join: unexpectedCall,
            handOverVote: unexpectedCall,
            propose: unexpectedCall,
            readIndex: unexpectedCall,
            elect: unexpectedCall,
        }),
    };
}

function unexpectedCall(): never {
    throw new Error("unexpected call in a single-member group");
}
