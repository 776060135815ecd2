/** Benchmarks real processes on loopback: latency, throughput, consensus writes and recovery. */
import { Histogram, sleep } from "@winchpath/core";
import { createBooking, Deployment, sendChat } from "@winchpath/testing";
import { readFile } from "node:fs/promises";
import { Agent, request } from "undici";

const manifests = `
[[service]]
name = "booking-api"

[[model]]
name = "m"
version = "1"
memory = "2 GiB"
`;
const clockTicksPerSecond = 100;

export interface Measurement {
    readonly name: string;
    readonly value: number;
    readonly unit: string;
    readonly [label: string]: unknown;
}

export type EmitMeasurement = (measurement: Measurement) => void;

/** Runs all benchmarks against one deployment. */
export async function measurePaths(quick: boolean, emit: EmitMeasurement): Promise<void> {
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
        await deployment.applyManifests(manifests);
        await deployment.waitUntilReady();
        await measureLatency(deployment, quick ? 1200 : 10_000, emit);
        await measureThroughput(deployment, quick ? 2000 : 8000, emit);
        await measureClaims(deployment, quick ? 300 : 2000, emit);
        await measureClaimCost(deployment, quick ? 800 : 6400, emit);
        await measureChanges(deployment, quick ? 10 : 60, emit);
        await measureHostLoss(deployment, emit);
        await measureLeaderChange(deployment, quick ? 1 : 6, emit);
    }
    finally {
        await deployment.stop();
    }
}

/** Alternates direct calls with calls through entry and agent, after a warm-up. */
async function measureLatency(deployment: Deployment, count: number, emit: EmitMeasurement): Promise<void> {
    const dispatcher = new Agent({ connections: 1, pipelining: 1 });
    const direct = new Histogram();
    const proxied = new Histogram();
    const directUrl = `${deployment.upstream("booking-1").url}/quotes/x`;
    const proxiedUrl = `${deployment.entries[0].callersUrl}/services/booking-api/quotes/x`;
    const call = async (url: string): Promise<number> => {
        const startedAt = performance.now();
        const { body } = await request(url, { dispatcher });
        await body.dump();
        return performance.now() - startedAt;
    };
    for (let number = 0; number < count + count / 5; number++) {
        const [directMs, proxiedMs] = [await call(directUrl), await call(proxiedUrl)];
        if (number >= count / 5) {
            direct.record(directMs);
            proxied.record(proxiedMs);
        }
    }
    await dispatcher.close();
    for (const [name, quantile] of [["p50", 0.5], ["p99", 0.99]] as const) {
        const labels = { direct: direct.quantile(quantile), through: proxied.quantile(quantile), calls: count };
        emit({
            name: `added_latency_${name}`,
            value: proxied.quantile(quantile) - direct.quantile(quantile),
            unit: "ms",
            ...labels,
        });
    }
}

async function measureThroughput(deployment: Deployment, ms: number, emit: EmitMeasurement): Promise<void> {
    const callers = 32;
    const [entry] = deployment.entries;
    const { agent } = deployment.upstream("booking-1");
    const dispatcher = new Agent({ connections: callers, pipelining: 1 });
    const url = `${entry.callersUrl}/services/booking-api/quotes/x`;
    const before = await Promise.all([cpuTimeMs(entry.process.pid), cpuTimeMs(agent.pid)]);
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
    const after = await Promise.all([cpuTimeMs(entry.process.pid), cpuTimeMs(agent.pid)]);
    emit({ name: "throughput", value: answered / ms * 1000, unit: "requests/s", callers, entries: 1, agents: 1 });
    emit({ name: "entry_processor_time", value: (after[0] - before[0]) / answered, unit: "ms/request" });
    emit({ name: "agent_processor_time", value: (after[1] - before[1]) / answered, unit: "ms/request" });
}

/** Sends bookings with idempotency keys: each claim needs a synced write on a majority of the voters. */
async function measureClaims(deployment: Deployment, count: number, emit: EmitMeasurement): Promise<void> {
    const entry = await deployment.findLeader();
    for (let number = 0; number < count; number++) {
        await createBooking(entry.callersUrl, `claim-${number}`, `claim-${number}`);
    }
    const metrics = await (await fetch(`${entry.operatorsUrl}/metrics`)).text();
    for (const [name, quantile] of [["p50", "0.5"], ["p99", "0.99"]]) {
        const seconds = new RegExp(`claim_seconds\\{op="claim",quantile="${quantile}"\\} (\\S+)`).exec(metrics)![1];
        emit({ name: `quorum_write_${name}`, value: Number(seconds) * 1000, unit: "ms", writes: count, at: "leader" });
    }
}

/** Measures CPU time per claimed booking on the leader and on a follower, under concurrent load. */
async function measureClaimCost(deployment: Deployment, count: number, emit: EmitMeasurement): Promise<void> {
    const leader = await deployment.findLeader();
    const [follower, other] = deployment.entries.filter(entry => entry !== leader);
    const processes = [leader, follower].map(entry => entry.process.pid);
    const before = await Promise.all(processes.map(cpuTimeMs));
    const callers = 16;
    // Sent through the third entry, so that handling the callers' connections is not counted.
    await Promise.all(Array.from({ length: callers }, async (_, caller) => {
        for (let number = 0; number < count / callers; number++) {
            await createBooking(other.callersUrl, `cost-${caller}-${number}`, `cost-${caller}-${number}`);
        }
    }));
    const after = await Promise.all(processes.map(cpuTimeMs));
    const [leaderMs, followerMs] = after.map((ms, index) => (ms - before[index]) / count);
    emit({
        name: "claim_processor_time",
        value: leaderMs,
        unit: "ms/booking",
        voter: followerMs,
        bookings: count,
        writes: 2,
    });
}

/** Measures the time from sending a change until every process has applied it. */
async function measureChanges(deployment: Deployment, count: number, emit: EmitMeasurement): Promise<void> {
    const propagationMs = new Histogram();
    for (let number = 0; number < count; number++) {
        const startedAt = Date.now();
        const text = `${manifests}\n[[service]]\nname = "s${number}"\n`;
        const revision = await deployment.applyManifests(text);
        const processes = deployment.entries.length + deployment.upstreams.length;
        const appliedAt = await waitUntilAppliedEverywhere(deployment, revision, processes);
        propagationMs.record(appliedAt - startedAt);
        await sleep(100);
    }
    for (const [name, quantile] of [["p50", 0.5], ["p99", 0.99]] as const) {
        emit({ name: `change_in_force_${name}`, value: propagationMs.quantile(quantile), unit: "ms", changes: count });
    }
}

/** Waits until that many processes have applied a revision; returns when the last one did, in epoch milliseconds. */
async function waitUntilAppliedEverywhere(
    deployment: Deployment,
    revision: number,
    processes: number,
): Promise<number> {
    for (;;) {
        const { events } = await deployment.client.timeline({});
        const revisionEvents = events as { kind: string; revision?: string; process: string; time: string; }[];
        const appliedEvents = revisionEvents.filter(event =>
            event.kind === "revision.in-force" && Number(event.revision) >= revision
        );
        if (new Set(appliedEvents.map(event => event.process)).size >= processes) {
            const firstAppliedAt = new Map<string, number>();
            appliedEvents.forEach(({ process, time }) =>
                firstAppliedAt.set(process, Math.min(Number(time), firstAppliedAt.get(process) ?? Infinity))
            );
            return Math.max(...firstAppliedAt.values());
        }
        await sleep(50);
    }
}

async function measureHostLoss(deployment: Deployment, emit: EmitMeasurement): Promise<void> {
    const { models } = await deployment.client.status();
    const host = deployment.upstream(models[0].readyAt[0]);
    const startedAt = Date.now();
    await Promise.all([host.agent.kill(), host.mock.kill()]);
    const answer = await sendChat(deployment.entries[0].callersUrl, "m", "are you there", { tokens: 1 });
    const value = answer.isComplete ? Date.now() - startedAt : Number.NaN;
    emit({ name: "recovery_after_host_loss", value, unit: "ms", readyReplicas: models[0].readyReplicas, loadMs: 500 });
    await deployment.restartMock(host);
    await deployment.restartAgent(host);
}

/** Measures the time from killing the leader to the next accepted change. */
async function measureLeaderChange(deployment: Deployment, count: number, emit: EmitMeasurement): Promise<void> {
    const durations: number[] = [];
    for (let number = 0; number < count; number++) {
        const leader = await deployment.findLeader();
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
        await deployment.waitForStatus(
            "three voters",
            ({ members }) => members.length === 3 && members.every(({ reachable }) => reachable),
        );
    }
    const mean = durations.reduce((sum, ms) => sum + ms, 0) / count;
    emit({ name: "leader_change", value: mean, unit: "ms", kills: count, worst: Math.max(...durations) });
}

/** CPU time that a process has used, in milliseconds. */
export async function cpuTimeMs(pid: number): Promise<number> {
    const fields = (await readFile(`/proc/${pid}/stat`, "utf8")).split(") ")[1].split(" ");
    return (Number(fields[11]) + Number(fields[12])) * 1000 / clockTicksPerSecond;
}
