/**
 * Plays every world of a bounded size: a change that is acknowledged, a request to what it adds, a question to the control
 * group with its delays and losses, and a response of a deposed leader, in all orders on a grid of time.
 */
import { create } from "@bufbuild/protobuf";
import { Metrics, silentLog } from "@winchpath/core";
import { type RpcClients } from "@winchpath/rpc";
import { expect } from "earl";
import { describe, it, mock } from "node:test";
import { ConfirmResponseSchema, PollResponseSchema } from "../gen/winchpath/fleet/v1/fleet_pb.js";
import { ConfigurationConfirmer, FleetView } from "../index.js";
import { advanceTime } from "./mocktimes.js";

const epochMs = 1_000_000;
const confirmTimeoutMs = 120;
const worldMs = 260;
/** Version without, and version with what the request asks for. */
const oldVersion = 1;
const newVersion = 2;

/** Times are milliseconds from the start of the world. */
interface World {
    readonly acknowledgedAt: number;
    readonly requestedAt: number;
    /** Time from a question to the quorum read that answers it. */
    readonly readDelayMs: number;
    /** Time from there to the entry; undefined if the answer is lost. */
    readonly replyDelayMs: number | undefined;
    /** When the response of a leader arrives that lost its majority right before the acknowledgement. */
    readonly deposedAt: number;
}

const grid = [0, 10, 20, 30, 40];
const readDelays = [0, 12, 32];
const replyDelays = [0, 12, 32, undefined];
const deposedTimes = [5, 25, 45];

function* worlds(): Generator<World> {
    for (const acknowledgedAt of grid) {
        for (const requestedAt of grid) {
            for (const readDelayMs of readDelays) {
                for (const replyDelayMs of replyDelays) {
                    for (const deposedAt of deposedTimes) {
                        yield { acknowledgedAt, requestedAt, readDelayMs, replyDelayMs, deposedAt };
                    }
                }
            }
        }
    }
}

const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms));
const now = () => Date.now() - epochMs;

/** Resolves to what the entry tells the request: the version that it rests on, or undefined if it tells nothing. */
async function play(world: World): Promise<{ readonly version: number; readonly confirmed: boolean; }> {
    const view = new FleetView((text, version) => ({ text, version }), silentLog);
    const confirm = async () => {
        await sleep(world.readDelayMs);
        const version = now() >= world.acknowledgedAt ? newVersion : oldVersion;
        await (world.replyDelayMs === undefined ? new Promise(() => undefined) : sleep(world.replyDelayMs));
        return create(ConfirmResponseSchema, { documentVersion: BigInt(version), documentText: `v${version}` });
    };
    const clients = {
        client: (() => ({ confirm })) as unknown as RpcClients["client"],
        retireSilent: () => undefined,
    };
    const options = {
        entry: "e",
        leaderUrl: () => "a",
        controlUrls: () => ["a", "b"],
        seedUrls: () => [],
        askAfterMs: 1000,
    };
    const confirmer = new ConfigurationConfirmer(view, clients, options, silentLog, new Metrics());
    const document = { documentVersion: BigInt(oldVersion), documentText: `v${oldVersion}` };
    view.apply(create(PollResponseSchema, document), Date.now() - 1);
    void sleep(world.deposedAt).then(() => {
        const cutAt = epochMs + world.acknowledgedAt - 1;
        const quorumAgeMs = Math.max(0, Date.now() - cutAt);
        view.apply(create(PollResponseSchema, { documentVersion: BigInt(oldVersion), quorumAgeMs }), Date.now());
    });
    // An earlier request has asked already.
    void confirmer.confirm(confirmTimeoutMs);
    await sleep(world.requestedAt);
    const confirmed = await confirmer.confirm(confirmTimeoutMs);
    return { version: view.version, confirmed };
}

describe("an entry that is asked for what its configuration lacks", () => {
    it("never says that it is absent once a configuration that has it was acknowledged", async () => {
        mock.timers.enable({ apis: ["Date", "setTimeout"], now: epochMs });
        const wrong: World[] = [];
        let played = 0;
        let told = 0;
        try {
            for (const world of worlds()) {
                mock.timers.setTime(epochMs);
                const playing = play(world);
                await advanceTime(worldMs);
                const { version, confirmed } = await playing;
                played += 1;
                told += confirmed ? 1 : 0;
                if (confirmed && version < newVersion && world.acknowledgedAt < world.requestedAt) {
                    wrong.push(world);
                }
            }
        }
        finally {
            mock.timers.reset();
        }
        expect(wrong).toEqual([]);
        expect(played).toEqual(900);
        // Guards against an entry that never tells anything.
        expect(told).toBeGreaterThan(played / 2);
    });
});
