/** `npm run measure -- --capacity`: measures how costs scale, for docs/CAPACITY.md. Prints one JSON line per data point. */
import { create, toBinary } from "@bufbuild/protobuf";
import {
    ConsensusService,
    consensusService,
    MemoryLogStore,
    Replica,
    RpcPeerConnector,
    type StateMachine,
} from "@winchpath/consensus";
import { Catalogue, Declarations, type Resource } from "@winchpath/declarations";
import { acceleratorViews, IncrementalPlacer, Ledger } from "@winchpath/placement";
import { IdempotencyClaims } from "@winchpath/requests";
import { RpcClients, RpcServer } from "@winchpath/rpc";
import { Deployment, findFreePorts } from "@winchpath/testing";
import { Timeline } from "@winchpath/timeline";
import { Registrar, RegistrarService, type ReportRequest, ReportRequestSchema } from "@winchpath/upstream";
import { readFile } from "node:fs/promises";
import { cpuTimeMs } from "./paths.js";

const key = "a key for tests on loopback only";
const loopback = "127.0.0.1";
const gibibyte = 2n ** 30n;

type EmitMeasurement = (measurement: { name: string; value: number; unit: string; [label: string]: unknown; }) => void;

export async function measureCapacity(emit: EmitMeasurement): Promise<void> {
    measureSnapshotSizes(emit);
    measurePlanTimes(emit);
    measureReportSizes(emit);
    for (const agents of [0, 100, 200, 400, 800]) {
        await measureReports(agents, emit);
    }
    for (const learners of [0, 30, 60, 120]) {
        await measureLearners(learners, emit);
    }
}

/** Measures snapshot size and serialization time for each kind of replicated state. */
function measureSnapshotSizes(emit: EmitMeasurement): void {
    for (const count of [10_000, 50_000]) {
        const claims = new IdempotencyClaims();
        for (let number = 0; number < count; number++) {
            const place = {
                upstream: "booking-1",
                url: `http://${loopback}:9`,
                incarnation: "0mx684f1u-APzpuS2JsAAA",
                seenReport: 12345,
            };
            claims.apply({
                op: "claim",
                key: `booking-api/crew/${number}`,
                requestId: "4VHBsTjSAuQh",
                fingerprint: "x".repeat(22),
                holder: "4VHBsTjSAuQh.1",
                windowMs: 1e9,
                ...place,
            }, { time: number });
        }
        measureSnapshot(emit, "claims", count, () => claims.snapshot());
    }
    for (const count of [1000, 5000]) {
        const declarations = new Declarations();
        for (let number = 0; number < count; number++) {
            const spec = { version: "1", memory: "2 GiB", cache: "0 B", priority: 5, minReplicas: 1, maxReplicas: 8 };
            const items = [{ op: "put" as const, kind: "Model" as const, name: `m${number}`, baseVersion: 0, spec }];
            declarations.apply({ changeId: `c${number}`, operator: "awa", items }, { index: number + 1 });
        }
        measureSnapshot(emit, "declarations", count, () => declarations.snapshot());
    }
    for (const upstreams of [1000, 5000]) {
        measureSnapshot(emit, "holdings", upstreams * 8, () => buildLedger(upstreams, 8, 50).snapshot());
    }
}

function measureSnapshot(emit: EmitMeasurement, kind: string, count: number, snapshot: () => unknown): void {
    const startedAt = performance.now();
    const bytes = Buffer.byteLength(JSON.stringify(snapshot()));
    const labels = { kind, count, snapshotMs: Math.round(performance.now() - startedAt) };
    emit({ name: "state_bytes", value: bytes / count, unit: "bytes/item", ...labels });
}

/** Measures one planning round in the steady state, with every model already placed. */
function measurePlanTimes(emit: EmitMeasurement): void {
    for (const [models, upstreams] of [[26, 8], [39, 13], [210, 100], [210, 500], [210, 2000]]) {
        const ledger = buildLedger(upstreams, 4, models);
        const live = buildLiveUpstreams(upstreams, 4, models);
        const view = {
            catalogue: new Catalogue(1, buildModelResources(models)),
            accelerators: acceleratorViews(ledger, live, new Set(), () => true),
            demand: new Map(),
            moveCost: 0.5,
        };
        const placer = new IncrementalPlacer(60_000);
        placer.plan(view);
        const startedAt = performance.now();
        placer.plan(view);
        emit({ name: "plan_time", value: performance.now() - startedAt, unit: "ms", models, upstreams });
    }
}

function measureReportSizes(emit: EmitMeasurement): void {
    for (const items of [0, 10, 40]) {
        const bytes = toBinary(ReportRequestSchema, buildReport(0, items, 100, 1n)).length;
        emit({ name: "report_bytes", value: bytes, unit: "bytes", items });
    }
}

/** Measures the CPU time of one entry that receives four reports per second from each agent. */
async function measureReports(agents: number, emit: EmitMeasurement): Promise<void> {
    const deployment = await Deployment.start({ dataCentres: ["a"], engines: [], services: [] });
    const [entry] = deployment.entries;
    const stopping = new AbortController();
    const timeline = new Timeline({ process: "m", host: "m", dataCentre: "d" });
    const clients = new RpcClients({ key, timeline });
    try {
        const client = clients.client(RegistrarService, entry.peersUrl);
        let sent = 0;
        const sender = async (agent: number): Promise<void> => {
            for (let sequence = 1n; !stopping.signal.aborted; sequence++) {
                // Reports a plain service, so that the controller sends no orders.
                await client.report({ ...buildReport(agent, 8, 50, sequence), service: "some-service" });
                sent += 1;
                await new Promise(resolve => setTimeout(resolve, 250));
            }
        };
        const tasks = Array.from({ length: agents }, (_, agent) => sender(agent));
        await new Promise(resolve => setTimeout(resolve, 2000));
        const [before, sentBefore] = [await cpuTimeMs(entry.process.pid), sent];
        const seconds = 6;
        await new Promise(resolve => setTimeout(resolve, seconds * 1000));
        const usedMs = await cpuTimeMs(entry.process.pid) - before;
        const labels = {
            agents,
            reportsPerSecond: (sent - sentBefore) / seconds,
            residentMiB: await residentMiB(entry.process.pid),
        };
        emit({ name: "entry_core_share", value: usedMs / seconds / 1000, unit: "cores", ...labels });
        stopping.abort();
        await Promise.all(tasks);
    }
    finally {
        stopping.abort();
        clients.close();
        await deployment.stop();
    }
}

/** Measures the leader's CPU time with learners in this process, idle and under changes. */
async function measureLearners(learners: number, emit: EmitMeasurement): Promise<void> {
    const deployment = await Deployment.start({ dataCentres: ["a", "b", "c"], engines: [], services: [] });
    const cleanups: (() => Promise<void>)[] = [];
    try {
        const leader = await deployment.findLeader();
        for (let number = 0; number < learners; number++) {
            cleanups.push(await startLearner(number, deployment.entries.map(entry => entry.peersUrl)));
        }
        const seconds = 5;
        const measureCoreShare = async (work: () => Promise<unknown>): Promise<number> => {
            const before = await cpuTimeMs(leader.process.pid);
            await work();
            return (await cpuTimeMs(leader.process.pid) - before) / seconds / 1000;
        };
        const idle = await measureCoreShare(() => new Promise(resolve => setTimeout(resolve, seconds * 1000)));
        emit({ name: "leader_core_share", value: idle, unit: "cores", learners, changesPerSecond: 0 });
        let changes = 0;
        const busy = await measureCoreShare(async () => {
            const end = Date.now() + seconds * 1000;
            while (Date.now() < end) {
                changes += 1;
                const item = {
                    op: "put" as const,
                    kind: "Service" as const,
                    name: `s${changes}`,
                    baseVersion: 0,
                    spec: {},
                };
                await deployment.client.change({ changeId: `c${changes}`, operator: "awa", items: [item] }, false);
                await new Promise(resolve => setTimeout(resolve, 50));
            }
        });
        const labels = {
            learners,
            changesPerSecond: changes / seconds,
            residentMiB: await residentMiB(leader.process.pid),
        };
        emit({ name: "leader_core_share", value: busy, unit: "cores", ...labels });
    }
    finally {
        await Promise.all(cleanups.map(stop => stop()));
        await deployment.stop();
    }
}

class NoopStateMachine implements StateMachine {
    public apply(): Uint8Array {
        return new Uint8Array();
    }

    public snapshot(): Uint8Array {
        return new Uint8Array();
    }

    public restore(): void {}
}

async function startLearner(number: number, seeds: readonly string[]): Promise<() => Promise<void>> {
    const timeline = new Timeline({ process: `l${number}`, host: `l${number}`, dataCentre: "d" }, 10);
    const clients = new RpcClients({ key, timeline });
    const [port] = await findFreePorts(loopback, 1);
    const replica = await Replica.open({
        identity: { host: `l${number}`, url: `http://${loopback}:${port}` },
        store: new MemoryLogStore(),
        machine: new NoopStateMachine(),
        peers: new RpcPeerConnector(clients),
        seeds,
        timeline,
        onFatal: () => undefined,
    });
    const rpc = await RpcServer.listen({ host: loopback, port }, router => {
        router.service(ConsensusService, consensusService(() => replica));
    }, { key, timeline });
    replica.start();
    await replica.waitUntilJoined(30_000);
    return async () => {
        await replica.stop();
        clients.close();
        await rpc.close(0);
    };
}

function buildModelResources(count: number): Resource[] {
    return Array.from({ length: count }, (_, index) => ({
        kind: "Model" as const,
        name: `m${index}`,
        version: 1,
        operator: "o",
        changeId: "c",
        spec: { version: "1", memory: "1 GiB" },
    }));
}

function buildLedger(upstreams: number, items: number, models: number): Ledger {
    const ledger = new Ledger();
    const names = Array.from({ length: upstreams }, (_, index) => `u${index}`);
    const accelerators = [{ name: "a0", bytes: Number(gibibyte) * 24, speed: 1 }];
    ledger.apply({
        op: "register",
        upstreams: names.map(name => ({ name, incarnation: "i", dataCentre: "d", accelerators })),
    }, { term: 1, index: 1 });
    const adoptions = names.flatMap((upstream, index) =>
        Array.from(
            { length: items },
            (_, item) => ({
                upstream,
                accelerator: "a0",
                item: modelItem(index, item, items, models),
                bytes: Number(gibibyte),
            }),
        )
    );
    ledger.apply({ op: "settle", settlements: [], adoptions }, { term: 1, index: 2 });
    return ledger;
}

function buildLiveUpstreams(upstreams: number, items: number, models: number) {
    const registrar = new Registrar(new Timeline({ process: "m", host: "m", dataCentre: "d" }, 10));
    for (let index = 0; index < upstreams; index++) {
        registrar.receive(buildReport(index, items, models, 1n));
    }
    return registrar.live();
}

function buildReport(agent: number, items: number, models: number, sequence: bigint): ReportRequest {
    return create(ReportRequestSchema, {
        upstream: `u${agent}`,
        incarnation: "0mx684f1u-APzpuS2JsAAA",
        // Nothing listens on this port.
        url: `http://${loopback}:9`,
        host: `worker-${agent}`,
        dataCentre: "d",
        service: "engine",
        accelerators: [{ name: "a0", memoryBytes: gibibyte * 24n, speed: 1 }],
        settled: { term: 3n, index: 12345n },
        stateKnown: true,
        residents: Array.from({ length: items }, (_, item) => ({
            accelerator: "a0",
            item: modelItem(agent, item, items, models),
            bytes: gibibyte,
            ready: true,
        })),
        load: { running: 3, waiting: 0, capacity: 8 },
        knownRevision: 12345n,
        checksFence: true,
        sequence,
    });
}

function modelItem(upstream: number, item: number, items: number, models: number): string {
    return `m${(upstream * items + item) % models}@1`;
}

async function residentMiB(pid: number): Promise<number> {
    const status = await readFile(`/proc/${pid}/status`, "utf8");
    return Math.round(Number(/VmRSS:\s+(\d+)/.exec(status)![1]) / 1024);
}
