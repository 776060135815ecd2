/** Measures real processes on loopback: latency, throughput, control. */
import { Histogram, sleep } from "@winchpath/core";
import { book, chat, Deployment } from "@winchpath/testing";
import { readFile } from "node:fs/promises";
import { Agent, request } from "undici";

const declarations = `
[[service]]
name = "booking-api"

[[model]]
name = "m"
version = "1"
memory = "2 GiB"
`;
const clockTicksPerSecond = 100;

export interface PathFigure {
    readonly name: string;
    readonly value: number;
    readonly unit: string;
    readonly [label: string]: unknown;
}

export type TellFigure = (figure: PathFigure) => void;

/** Runs all measurements of the real path against one deployment. */
export async function measurePaths(quick: boolean, tell: TellFigure): Promise<void> {
    const dataCentres = ["plateau", "pikine", "rufisque"];
    const deployment = await Deployment.start({
        dataCentres,
        engines: dataCentres.map((dataCentre, index) => ({
            name: `e${index}`,
            dataCentre,
            memory: "8 GiB",
            options: { loadMs: 500 },
        })),
        services: [{ name: "booking-1", dataCentre: "plateau", service: "booking-api" }],
        entrySettings: "[placement]\nstoreRate = 20",
    });
    try {
        await deployment.declare(declarations);
        await deployment.untilReady();
        await measureLatency(deployment, quick ? 1200 : 10_000, tell);
        await measureThroughput(deployment, quick ? 2000 : 8000, tell);
        await measureClaims(deployment, quick ? 300 : 2000, tell);
        await measureClaimCost(deployment, quick ? 800 : 6400, tell);
        await measureChanges(deployment, quick ? 10 : 60, tell);
        await measureHostLoss(deployment, tell);
        await measureLeaderChange(deployment, quick ? 1 : 6, tell);
    }
    finally {
        await deployment.stop();
    }
}

/** The same calls in turn: direct, and through entry and agent. */
async function measureLatency(deployment: Deployment, count: number, tell: TellFigure): Promise<void> {
    const dispatcher = new Agent({ connections: 1, pipelining: 1 });
    const direct = new Histogram();
    const through = new Histogram();
    const directUrl = `${deployment.upstream("booking-1").url}/quotes/x`;
    const throughUrl = `${deployment.entries[0].callers}/services/booking-api/quotes/x`;
    const call = async (url: string): Promise<number> => {
        const startedAt = performance.now();
        const { body } = await request(url, { dispatcher });
        await body.dump();
        return performance.now() - startedAt;
    };
    for (let number = 0; number < count + count / 5; number++) {
        const [directMs, throughMs] = [await call(directUrl), await call(throughUrl)];
        if (number >= count / 5) {
            direct.record(directMs);
            through.record(throughMs);
        }
    }
    await dispatcher.close();
    for (const [name, quantile] of [["p50", 0.5], ["p99", 0.99]] as const) {
        const labels = { direct: direct.quantile(quantile), through: through.quantile(quantile), calls: count };
        tell({
            name: `added_latency_${name}`,
            value: through.quantile(quantile) - direct.quantile(quantile),
            unit: "ms",
            ...labels,
        });
    }
}

async function measureThroughput(deployment: Deployment, ms: number, tell: TellFigure): Promise<void> {
    const callers = 32;
    const [entry] = deployment.entries;
    const { agent } = deployment.upstream("booking-1");
    const dispatcher = new Agent({ connections: callers, pipelining: 1 });
    const url = `${entry.callers}/services/booking-api/quotes/x`;
    const before = await Promise.all([processorMs(entry.process.pid), processorMs(agent.pid)]);
    const end = performance.now() + ms;
    let answered = 0;
    await Promise.all(Array.from({ length: callers }, async () => {
        while (performance.now() < end) {
            const { statusCode, body } = await request(url, { dispatcher });
            await body.dump();
            answered += statusCode === 200 ? 1 : 0;
        }
    }));
    await dispatcher.close();
    const after = await Promise.all([processorMs(entry.process.pid), processorMs(agent.pid)]);
    tell({ name: "throughput", value: answered / ms * 1000, unit: "requests/s", callers, entries: 1, agents: 1 });
    tell({ name: "entry_processor_time", value: (after[0] - before[0]) / answered, unit: "ms/request" });
    tell({ name: "agent_processor_time", value: (after[1] - before[1]) / answered, unit: "ms/request" });
}

/** Bookings with keys: each is claimed by a synced write at a majority first. */
async function measureClaims(deployment: Deployment, count: number, tell: TellFigure): Promise<void> {
    const entry = await deployment.leader();
    for (let number = 0; number < count; number++) {
        await book(entry.callers, `claim-${number}`, `claim-${number}`);
    }
    const metrics = await (await fetch(`${entry.operators}/metrics`)).text();
    for (const [name, quantile] of [["p50", "0.5"], ["p99", "0.99"]]) {
        const seconds = new RegExp(`claim_seconds\\{op="claim",quantile="${quantile}"\\} (\\S+)`).exec(metrics)![1];
        tell({ name: `quorum_write_${name}`, value: Number(seconds) * 1000, unit: "ms", writes: count, at: "leader" });
    }
}

/** Processor time of the leader and of another voter for each claimed booking, many at once. */
async function measureClaimCost(deployment: Deployment, count: number, tell: TellFigure): Promise<void> {
    const leader = await deployment.leader();
    const [follower, other] = deployment.entries.filter(entry => entry !== leader);
    const processes = [leader, follower].map(entry => entry.process.pid);
    const before = await Promise.all(processes.map(processorMs));
    const callers = 16;
    // Through the third entry, so that the callers' side of it is not counted.
    await Promise.all(Array.from({ length: callers }, async (_, caller) => {
        for (let number = 0; number < count / callers; number++) {
            await book(other.callers, `cost-${caller}-${number}`, `cost-${caller}-${number}`);
        }
    }));
    const after = await Promise.all(processes.map(processorMs));
    const [leaderMs, followerMs] = after.map((ms, index) => (ms - before[index]) / count);
    tell({
        name: "claim_processor_time",
        value: leaderMs,
        unit: "ms/booking",
        voter: followerMs,
        bookings: count,
        writes: 2,
    });
}

/** From the acceptance of a change to its last process in force. */
async function measureChanges(deployment: Deployment, count: number, tell: TellFigure): Promise<void> {
    const inForce = new Histogram();
    for (let number = 0; number < count; number++) {
        const startedAt = Date.now();
        const text = `${declarations}\n[[service]]\nname = "s${number}"\n`;
        const revision = await deployment.declare(text);
        const processes = deployment.entries.length + deployment.upstreams.length;
        const last = await lastInForce(deployment, revision, processes);
        inForce.record(last - startedAt);
        await sleep(100);
    }
    for (const [name, quantile] of [["p50", 0.5], ["p99", 0.99]] as const) {
        tell({ name: `change_in_force_${name}`, value: inForce.quantile(quantile), unit: "ms", changes: count });
    }
}

/** Date.now() at the last of so many processes that has a revision in force. */
async function lastInForce(deployment: Deployment, revision: number, processes: number): Promise<number> {
    for (;;) {
        const { events } = await deployment.client.timeline({});
        const told = events as { kind: string; revision?: string; process: string; time: string; }[];
        const mine = told.filter(event => event.kind === "revision.in-force" && Number(event.revision) >= revision);
        if (new Set(mine.map(event => event.process)).size >= processes) {
            const firsts = new Map<string, number>();
            mine.forEach(({ process, time }) =>
                firsts.set(process, Math.min(Number(time), firsts.get(process) ?? Infinity))
            );
            return Math.max(...firsts.values());
        }
        await sleep(50);
    }
}

async function measureHostLoss(deployment: Deployment, tell: TellFigure): Promise<void> {
    const { models } = await deployment.client.status();
    const host = deployment.upstream(models[0].readyAt[0]);
    const startedAt = Date.now();
    await Promise.all([host.agent.kill(), host.standIn.kill()]);
    const answer = await chat(deployment.entries[0].callers, "m", "are you there", { tokens: 1 });
    const value = answer.whole ? Date.now() - startedAt : Number.NaN;
    tell({ name: "recovery_after_host_loss", value, unit: "ms", readyReplicas: models[0].readyReplicas, loadMs: 500 });
    await deployment.restartStandIn(host);
    await deployment.restartAgent(host);
}

/** From the kill of the leader to the next accepted change. */
async function measureLeaderChange(deployment: Deployment, count: number, tell: TellFigure): Promise<void> {
    const durations: number[] = [];
    for (let number = 0; number < count; number++) {
        const leader = await deployment.leader();
        await deployment.client.list("Service");
        await leader.process.kill();
        const startedAt = Date.now();
        const item = {
            op: "put" as const,
            kind: "Service" as const,
            name: `after-${number}`,
            baseVersion: 0,
            spec: {},
        };
        await deployment.client.change({ changeId: `after-${number}`, operator: "awa", items: [item] }, false);
        durations.push(Date.now() - startedAt);
        await deployment.restartEntry(leader);
        await deployment.untilStatus(
            "three voters",
            ({ members }) => members.length === 3 && members.every(({ reachable }) => reachable),
        );
    }
    const mean = durations.reduce((sum, ms) => sum + ms, 0) / count;
    tell({ name: "leader_change", value: mean, unit: "ms", kills: count, worst: Math.max(...durations) });
}

/** Processor time that a process has used. */
export async function processorMs(pid: number): Promise<number> {
    const fields = (await readFile(`/proc/${pid}/stat`, "utf8")).split(") ")[1].split(" ");
    return (Number(fields[11]) + Number(fields[12])) * 1000 / clockTicksPerSecond;
}
