/**
 * Guards against requests that are run by a configuration which a newer one had to replace in time. Plays every world of a
 * bounded size: the feed ends, then each of three control hosts is reachable, slow, without a majority, silent, or resets its
 * connections for a time, while a newer configuration is acknowledged and requests come in.
 */
import { Code, ConnectError } from "@connectrpc/connect";
import { Metrics, silentLog } from "@winchpath/core";
import { ConfigurationConfirmer, FleetView } from "@winchpath/fleet";
import { expect } from "earl";
import { describe, it, mock } from "node:test";
import { ConfirmationPolicy } from "../index.js";

const epochMs = 1_000_000;
const stepMs = 10;
const worldMs = 9000;
const requestIntervalMs = 100;
/** Time within which an acknowledged configuration must be in force, in milliseconds. */
const applyMs = 2500;
const askAfterMs = 1375;
/** Time that a client gives a request, in milliseconds. */
const clientMs = 2000;
/** Time without a response of most hosts after which an entry may be cut off, in milliseconds: two rounds. */
const silentMs = 1200;
/** Time without a confirmation after which it may be, although hosts respond, in milliseconds. */
const undecidedMs = 4000;
/** Longest time from a state of the hosts to a decision by it, in milliseconds: a round and a pause. */
const noticeMs = 700;
const quorumReadMs = 10;
const slowReadMs = 400;
const oldVersion = 1;
const newVersion = 2;

const hostStates = ["answers", "slow", "undecided", "silent", "resets"] as const;
type HostState = typeof hostStates[number];
const acknowledgedTimes = [100, 800, 2000];
const troubleTimes = [1500, 4000, 8000];

/** Times are milliseconds from the last response of the feed. */
interface World {
    readonly acknowledgedAt: number;
    /** All hosts answer from then on. */
    readonly troubleUntil: number;
    /** States until then; the first host is the leader that the entry follows. */
    readonly hosts: readonly HostState[];
}

interface Decision {
    readonly requestedAt: number;
    readonly decidedAt: number;
    /** Version by which the request is served; undefined if it is rejected. */
    readonly version: number | undefined;
}

function* worlds(): Generator<World> {
    for (const leader of hostStates) {
        for (const [index, second] of hostStates.entries()) {
            for (const third of hostStates.slice(index)) {
                for (const acknowledgedAt of acknowledgedTimes) {
                    for (const troubleUntil of troubleTimes) {
                        yield { acknowledgedAt, troubleUntil, hosts: [leader, second, third] };
                    }
                }
            }
        }
    }
}

const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms));
const now = () => Date.now() - epochMs;

/** Answers a question to one host of a world. */
async function answer(world: World, host: number, timeoutMs: number): Promise<object> {
    const timeout = sleep(timeoutMs).then(() => {
        throw new ConnectError("the operation timed out", Code.DeadlineExceeded);
    });
    return Promise.race([answerWithoutLimit(world, host), timeout]);
}

async function answerWithoutLimit(world: World, host: number): Promise<object> {
    const state = now() < world.troubleUntil ? world.hosts[host] : "answers";
    switch (state) {
        case "silent":
            return new Promise(() => undefined);
        case "resets":
            throw new ConnectError("connection aborted", Code.Canceled);
        case "undecided":
            await sleep(slowReadMs);
            throw new ConnectError("no majority", Code.FailedPrecondition);
        case "slow":
            await sleep(slowReadMs);
            return documentOf(world);
        case "answers":
            await sleep(quorumReadMs);
            return documentOf(world);
    }
}

function documentOf({ acknowledgedAt }: World): object {
    const version = now() >= acknowledgedAt ? newVersion : oldVersion;
    return {
        $typeName: "winchpath.fleet.v1.ConfirmResponse",
        documentVersion: BigInt(version),
        documentText: `v${version}`,
        documentAgeMs: 0,
    };
}

async function advance(ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += stepMs) {
        mock.timers.tick(stepMs);
        await new Promise(resolve => setImmediate(resolve));
    }
}

async function play(world: World): Promise<Decision[]> {
    const view = new FleetView((text, version) => ({ text, version }), silentLog);
    view.applyConfirmation(documentOf({ ...world, acknowledgedAt: worldMs }) as never, Date.now());
    const clients = {
        client: (_service: unknown, url: string) => ({
            confirm: (_req: unknown, { timeoutMs }: { readonly timeoutMs: number; }) =>
                answer(world, Number(url), timeoutMs),
        }),
        disconnect: () => undefined,
        retireSilent: () => undefined,
    };
    const options = {
        entry: "e",
        leaderUrl: () => "0",
        controlUrls: () => ["0", "1", "2"],
        seedUrls: () => [],
        askAfterMs,
    };
    const confirmer = new ConfigurationConfirmer(view, clients as never, options, silentLog, new Metrics());
    const policy = new ConfirmationPolicy(view, confirmer, applyMs);
    const abort = new AbortController();
    void confirmer.run(abort.signal);
    const decisions: Decision[] = [];
    const request = async () => {
        const requestedAt = now();
        const isRejected = policy.mayBeOutdated && await policy.confirm(clientMs) === "unconfirmed";
        decisions.push({ requestedAt, decidedAt: now(), version: isRejected ? undefined : view.version });
    };
    for (let at = 0; at < worldMs; at += requestIntervalMs) {
        void request();
        await advance(requestIntervalMs);
    }
    abort.abort();
    await advance(noticeMs);
    return decisions;
}

function isLate({ acknowledgedAt }: World, { requestedAt, version }: Decision): boolean {
    return version === oldVersion && requestedAt > acknowledgedAt + applyMs;
}

/** Whether an entry can know at a time that it is cut off. */
function mayBeCutOff({ hosts, troubleUntil }: World, at: number): boolean {
    const isSilent = (state: HostState) => state === "silent" || state === "resets";
    const silent = hosts.filter(isSilent).length;
    const canConfirm = hosts.some(state => state === "answers" || state === "slow");
    return !canConfirm && at <= troubleUntil + noticeMs
        && (silent >= 2 ? at >= silentMs + askAfterMs : at >= undecidedMs);
}

describe("an entry whose feed has ended", () => {
    it("runs nothing by an overdue configuration unless it is cut off, and goes on then", async () => {
        mock.timers.enable({ apis: ["Date", "setTimeout"], now: epochMs });
        const late: string[] = [];
        const rejected: string[] = [];
        let played = 0;
        let servedLate = 0;
        try {
            for (const world of worlds()) {
                mock.timers.setTime(epochMs);
                const decisions = await play(world);
                played += 1;
                for (const decision of decisions) {
                    if (isLate(world, decision)) {
                        servedLate += 1;
                        if (!mayBeCutOff(world, decision.decidedAt)) {
                            late.push(JSON.stringify({ world, decision }));
                        }
                    }
                    if (decision.version === undefined && !mayReject(world, decision)) {
                        rejected.push(JSON.stringify({ world, decision }));
                    }
                }
            }
        }
        finally {
            mock.timers.reset();
        }
        expect(late.slice(0, 5)).toEqual([]);
        expect(rejected.slice(0, 5)).toEqual([]);
        expect(played).toEqual(675);
        // Guards against worlds in which no entry is ever cut off.
        expect(servedLate).toBeGreaterThan(1000);
    });

    /** Rejections are due only until the entry can know whether it is cut off. */
    function mayReject(world: World, { requestedAt }: Decision): boolean {
        const silent = world.hosts.filter(state => state === "silent" || state === "resets").length;
        const canConfirm = world.hosts.some(state => state === "answers" || state === "slow");
        const knownAt = silent >= 2 ? askAfterMs + silentMs + noticeMs : askAfterMs + undecidedMs + noticeMs;
        return !canConfirm && requestedAt <= Math.min(knownAt, world.troubleUntil + noticeMs);
    }
});
