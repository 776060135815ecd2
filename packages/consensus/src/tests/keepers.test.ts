import { silentLog } from "@winchpath/core";
import { Timeline } from "@winchpath/timeline";
import { expect } from "earl";
import { type FileHandle, mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { FileLogStore, type PeerConnector, ReplicaKeeper, SystemDisk } from "../index.js";
import { ListMachine } from "./groups.js";

/** A disk that refuses every write while it is full. */
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
const longMs = 10_000;
const shortMs = 200;

describe("ReplicaKeeper", () => {
    const stopping = new AbortController();
    let folder: string;
    let disk: FillableDisk;
    let machine: ListMachine;
    let keeper: ReplicaKeeper;
    let running: Promise<void>;

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "winchpath-keeper-"));
        disk = new FillableDisk();
        keeper = new ReplicaKeeper({
            identity: { host: "a", url },
            store: () => new FileLogStore(folder, disk),
            machine: () => machine = new ListMachine(),
            peers: onlyItself(() => keeper),
            seeds: [url],
            timeline: new Timeline({ process: "a", host: "a", dataCentre: "d" }),
            options: { heartbeatMs: 10, electionMs: 60 },
            log: silentLog,
        });
        running = keeper.run(stopping.signal);
        await until(() => keeper.current !== undefined);
    });

    afterEach(async () => {
        stopping.abort();
        await running;
        await rm(folder, { recursive: true, force: true });
    });

    async function until(condition: () => boolean): Promise<void> {
        while (!condition()) {
            await keeper.changed.wait(shortMs);
        }
    }

    it("acknowledges nothing while its disk is full, and goes on by itself once there is room", async () => {
        await keeper.require().propose(Buffer.from("before"), longMs);
        disk.full = true;
        await expect(keeper.require().propose(Buffer.from("unsynced"), shortMs)).toBeRejected();
        await until(() => keeper.current === undefined);
        expect(() => keeper.require()).toThrow();
        disk.full = false;
        await until(() => keeper.current !== undefined);
        await keeper.require().propose(Buffer.from("after"), longMs);
        expect(machine.commands).toEqual(["before", "after"]);
    });
});

/** A group of one, which reaches itself only. */
function onlyItself(keeper: () => ReplicaKeeper): PeerConnector {
    return {
        connect: () => ({
            probe: async () => {
                const { state } = keeper().require();
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
            vote: unused,
            append: unused,
            join: unused,
            propose: unused,
            readIndex: unused,
            elect: unused,
        }),
    };
}

function unused(): never {
    throw new Error("a group of one calls nobody");
}
