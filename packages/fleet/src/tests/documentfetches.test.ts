/**
 * Guards against an entry that takes itself for cut off, and serves by an outdated configuration, while control hosts answer
 * it: because what it lacks takes long to send, because the members that it knows are gone, or because the group is late.
 */
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { Metrics, silentLog } from "@winchpath/core";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { type ConfirmRequest, ConfirmResponseSchema, PollResponseSchema } from "../gen/winchpath/fleet/v1/fleet_pb.js";
import { ConfigurationConfirmer, FleetView } from "../index.js";

const askAfterMs = 1000;
const stepMs = 10;
/** Time from a question to a small answer, in milliseconds. */
const smallAnswerMs = 10;
const heldVersion = 1;
const newVersion = 2;

/** Advances mocked time; coarsely, as many worlds are played. */
async function advanceTime(ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += stepMs) {
        mock.timers.tick(stepMs);
        await new Promise(resolve => setImmediate(resolve));
    }
}

const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms));

/** The entry's link, which all answers share. */
class SharedLink {
    public active = 0;
    /** Documents that were begun to be sent. */
    public begun = 0;

    /** Resolves once a document has arrived that takes `ms` on an otherwise idle link. */
    public async send(ms: number, isOver: () => boolean): Promise<void> {
        this.active += 1;
        this.begun += 1;
        for (let leftMs = ms; leftMs > 0 && !isOver(); leftMs -= stepMs / this.active) {
            await sleep(stepMs);
        }
        this.active -= 1;
    }
}

const hostStates = ["answers", "refuses", "silent", "without a leader", "late"] as const;
type HostState = typeof hostStates[number];

interface World {
    /** Members that the entry knows. */
    readonly members: readonly HostState[];
    readonly seeds: readonly HostState[];
    /** Time that the document takes on an idle link, in milliseconds. */
    readonly documentMs: number;
}

interface Outcome {
    readonly wasCutOff: boolean;
    /** Time until the entry had the new version; undefined if it never had. */
    readonly updatedMs: number | undefined;
    readonly documents: number;
}

/** Control hosts that have committed a version that the entry lacks. */
class WorldHosts {
    public readonly link = new SharedLink();

    /** Whether questions go unanswered, though documents that are on their way arrive. */
    public isSilent = false;

    public constructor(private readonly world: World) {}

    public clients() {
        return {
            client: (_service: unknown, url: string) => ({
                confirm: (req: ConfirmRequest, { timeoutMs }: { readonly timeoutMs: number; }) =>
                    this.answerInTime(this.stateOf(url), req, timeoutMs),
            }),
            retireSilent: () => undefined,
        };
    }

    private stateOf(url: string): HostState {
        const [kind, index] = url.split("/");
        return (kind === "member" ? this.world.members : this.world.seeds)[Number(index)];
    }

    private async answerInTime(state: HostState, req: ConfirmRequest, timeoutMs: number) {
        let isOver = false;
        const timeout = sleep(timeoutMs).then(() => {
            isOver = true;
            throw new ConnectError("the operation timed out", Code.DeadlineExceeded);
        });
        const response = await Promise.race([this.answer(state, req, () => isOver), timeout]);
        return create(ConfirmResponseSchema, response);
    }

    private async answer(
        state: HostState,
        { versionOnly }: ConfirmRequest,
        isOver: () => boolean,
    ): Promise<MessageInitShape<typeof ConfirmResponseSchema>> {
        if (this.isSilent) {
            return new Promise(() => undefined);
        }
        await sleep(smallAnswerMs);
        switch (state) {
            case "answers":
                if (!versionOnly) {
                    await this.link.send(this.world.documentMs, isOver);
                }
                return { documentVersion: BigInt(newVersion), documentText: versionOnly ? "" : "new" };
            case "refuses": {
                const cause = Object.assign(new Error("connect ECONNREFUSED"), { code: "ECONNREFUSED" });
                throw new ConnectError("refused", Code.Unavailable, undefined, undefined, cause);
            }
            case "silent":
                return new Promise(() => undefined);
            case "without a leader":
                throw new ConnectError("no majority", Code.FailedPrecondition);
            case "late":
                throw new ConnectError("no majority in time", Code.ResourceExhausted);
        }
    }
}

/** `silentAfterMs`: time after which no host answers any further question. */
async function play(
    world: World,
    lengthMs: number,
    silentAfterMs = Number.POSITIVE_INFINITY,
): Promise<Outcome> {
    const view = new FleetView((text, version) => ({ text, version }), silentLog);
    view.apply(create(PollResponseSchema, { documentVersion: BigInt(heldVersion), documentText: "held" }), Date.now());
    const hosts = new WorldHosts(world);
    const options = {
        entry: "e",
        leaderUrl: () => "member/0",
        controlUrls: () => world.members.map((_, index) => `member/${index}`),
        seedUrls: () => world.seeds.map((_, index) => `seed/${index}`),
        askAfterMs,
        onMembers: () => undefined,
    };
    const confirmer = new ConfigurationConfirmer(view, hosts.clients() as never, options, silentLog, new Metrics());
    const abort = new AbortController();
    void confirmer.run(abort.signal);
    let wasCutOff = false;
    let updatedMs: number | undefined;
    await advanceTime(askAfterMs);
    for (let ms = 0; ms < lengthMs; ms += stepMs) {
        await advanceTime(stepMs);
        hosts.isSilent = ms >= silentAfterMs;
        wasCutOff ||= confirmer.isCutOff;
        updatedMs ??= view.version === newVersion ? ms : undefined;
    }
    abort.abort();
    return { wasCutOff, updatedMs, documents: hosts.link.begun };
}

describe("an entry that lacks a committed configuration", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 }));

    afterEach(() => mock.timers.reset());

    it("isn't cut off by the time that its document takes on a slow link, and gets it once", async () => {
        const members: HostState[] = ["answers", "answers", "answers", "answers", "answers"];
        const outcome = await play({ members, seeds: [], documentMs: 700 }, 6000);
        expect(outcome.wasCutOff).toEqual(false);
        expect(outcome.updatedMs! < 1000).toEqual(true);
        expect(outcome.documents).toEqual(1);
    });

    it("isn't cut off because the members that it knows refuse connections while a seed answers", async () => {
        const members: HostState[] = ["refuses", "refuses", "refuses"];
        const outcome = await play({ members, seeds: ["answers"], documentMs: 700 }, 6000);
        expect(outcome.wasCutOff).toEqual(false);
        expect(outcome.updatedMs! < 1200).toEqual(true);
    });

    it("isn't cut off while a control host that hears its leader is late", async () => {
        const members: HostState[] = ["late", "without a leader", "silent", "silent", "refuses"];
        const outcome = await play({ members, seeds: [], documentMs: 10 }, 12_000);
        expect(outcome.wasCutOff).toEqual(false);
    });

    it("isn't cut off while the document that a host has told it of is on its way", async () => {
        const members: HostState[] = ["answers", "answers", "answers"];
        const outcome = await play({ members, seeds: [], documentMs: 2000 }, 2500, 100);
        expect(outcome.wasCutOff).toEqual(false);
        expect(outcome.updatedMs! > 1900).toEqual(true);
    });

    it("is cut off once that document doesn't come", async () => {
        const members: HostState[] = ["answers", "answers", "answers"];
        const outcome = await play({ members, seeds: [], documentMs: 60_000 }, 8000, 100);
        expect([outcome.wasCutOff, outcome.updatedMs]).toEqual([true, undefined]);
    });

    it("is cut off only if no host answers or hears its leader, in every small world, and gets the document otherwise", async () => {
        const wrong: World[] = [];
        let cutOff = 0;
        let played = 0;
        for (const first of hostStates) {
            for (const [index, second] of hostStates.entries()) {
                for (const third of hostStates.slice(index)) {
                    for (const seed of hostStates) {
                        for (const documentMs of [20, 1000]) {
                            const world = { members: [first, second, third], seeds: [seed], documentMs };
                            const { wasCutOff, updatedMs } = await play(world, 5500);
                            const states = [first, second, third, seed];
                            const answers = states.includes("answers");
                            const reaches = answers || states.includes("late");
                            played += 1;
                            cutOff += wasCutOff ? 1 : 0;
                            if (wasCutOff === reaches || (updatedMs !== undefined) !== answers) {
                                wrong.push(world);
                            }
                        }
                    }
                }
            }
        }
        expect(wrong.slice(0, 5)).toEqual([]);
        expect(played).toEqual(750);
        // Guards against worlds in which no entry is ever cut off.
        expect(cutOff).toBeGreaterThan(100);
    });
});
