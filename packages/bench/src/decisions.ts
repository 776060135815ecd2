/** Simulates routing and placement: replays a trace against in-memory engines on a mocked clock. */
import { create } from "@bufbuild/protobuf";
import { sleep } from "@winchpath/core";
import { Catalogue, type Resource } from "@winchpath/declarations";
import {
    DemandTracker,
    Ledger,
    ModelDemandSchema,
    PlacementController,
    ReportDemandRequestSchema,
} from "@winchpath/placement";
import { type Job } from "@winchpath/requests";
import { RoutingTable } from "@winchpath/routing";
import { Timeline } from "@winchpath/timeline";
import { Registrar, ReportRequestSchema } from "@winchpath/upstream";
import { mock } from "node:test";
import { SimulatedEngine } from "./engines.js";
import { type EntryPolicy, type Policy } from "./policies.js";
import { type Fleet, type Trace, type TraceRequest } from "./traces.js";

/** Latency targets: time to first token, and time per output token. */
const firstTokenTargetMs = 670;
const interTokenTargetMs = 36;
const requestTimeoutMs = 30_000;
const tickMs = 5;
const reportIntervalMs = 250;
const demandIntervalMs = 1000;
/** Covers the initial loads, including the delayed spare replicas. */
const warmUpMs = 300_000;
const warmUpTickMs = 50;
const dataCentres = ["d0", "d1", "d2"];
const updatedModels = 4;

/** Results of replaying one trace. */
export interface DecisionMetrics {
    /** Share of the requests that met both latency targets. */
    readonly attainment: number;
    /** Requests per second and accelerator that met both latency targets. */
    readonly attainedPerAccelerator: number;
    /** Loads and unloads after the warm-up. */
    readonly moves: number;
    readonly refused: number;
    readonly failed: number;
    readonly requests: number;
}

interface Entry {
    readonly registrar: Registrar;
    readonly policy: EntryPolicy;
    readonly table: RoutingTable;
    readonly dataCentre: string;
}

/** Replays a trace under a policy. Mocks the timers of the process until it returns. */
export async function measureDecisions(fleet: Fleet, trace: Trace, policy: Policy): Promise<DecisionMetrics> {
    mock.timers.enable({ apis: ["setTimeout", "Date"], now: 1_800_000_000_000 });
    try {
        return await new Simulation(fleet, trace, policy).run();
    }
    finally {
        mock.timers.reset();
    }
}

class Simulation {
    private readonly timeline = new Timeline({ process: "measure", host: "h", dataCentre: "d" }, 100);
    private readonly engines: SimulatedEngine[];
    private readonly entries: Entry[];
    private readonly ledger = new Ledger();
    private readonly demand = new DemandTracker();
    private readonly leaderRegistrar = new Registrar(this.timeline);
    private readonly stopping = new AbortController();
    private catalogue: Catalogue;
    private version = 1;
    private logIndex = 0;
    private attained = 0;
    private refused = 0;
    private failed = 0;

    public constructor(private readonly fleet: Fleet, private readonly trace: Trace, private readonly policy: Policy) {
        this.catalogue = this.createCatalogue();
        this.engines = Array.from({ length: fleet.workers }, (_, index) =>
            new SimulatedEngine({
                name: `e${String(index).padStart(2, "0")}`,
                dataCentre: dataCentres[index % dataCentres.length],
                // A mixed fleet: every other accelerator is larger and faster.
                gibibytes: index % 2 === 0 ? 24 : 40,
                speed: index % 2 === 0 ? 1 : 2,
            }));
        this.entries = dataCentres.map(dataCentre => {
            const registrar = new Registrar(this.timeline);
            const agents = { connect: (url: string) => this.createClient(url, dataCentre) };
            const table = new RoutingTable({
                registrar,
                catalogue: () => this.catalogue,
                drainedSince: () => new Map(),
            });
            return { registrar, table, dataCentre, policy: policy.newEntry(dataCentre, agents, registrar) };
        });
    }

    public async run(): Promise<DecisionMetrics> {
        const controller = this.createController();
        const { signal } = this.stopping;
        void controller.run(signal);
        this.allRegistrars().forEach(registrar => void registrar.run(signal));
        void this.sendReports(controller, signal);
        void this.sendDemand(signal);
        await this.advanceTime(warmUpMs, warmUpTickMs);
        const movesBefore = this.countMoves();
        const pendingRequests = await this.replayTrace();
        await this.advanceTime(requestTimeoutMs + 1000);
        await Promise.all(pendingRequests);
        this.stopping.abort();
        await this.advanceTime(1000);
        const requests = this.trace.requests.length;
        return {
            attainment: this.attained / requests,
            attainedPerAccelerator: this.attained / (this.trace.durationMs / 1000) / this.fleet.workers,
            moves: this.countMoves() - movesBefore,
            refused: this.refused,
            failed: this.failed,
            requests,
        };
    }

    private async replayTrace(): Promise<Promise<void>[]> {
        const pendingRequests: Promise<void>[] = [];
        const requests = [...this.trace.requests];
        const events = [...this.trace.events];
        const startedAt = Date.now();
        for (let number = 0; Date.now() - startedAt < this.trace.durationMs;) {
            const now = Date.now() - startedAt;
            while (number < requests.length && requests[number].at <= now) {
                pendingRequests.push(this.sendRequest(requests[number], this.entries[number % this.entries.length]));
                number += 1;
            }
            while (events.length > 0 && events[0].at <= now) {
                this.applyEvent(events.shift()!.kind);
            }
            await this.advanceTime(tickMs);
        }
        return pendingRequests;
    }

    private async sendRequest(request: TraceRequest, entry: Entry): Promise<void> {
        const startedAt = Date.now();
        let firstByteAt = 0;
        try {
            await entry.policy.handle(this.createJob(request, entry), () => {
                firstByteAt ||= Date.now();
            });
            const msPerToken = (Date.now() - firstByteAt) / request.tokens;
            this.attained += firstByteAt - startedAt <= firstTokenTargetMs && msPerToken <= interTokenTargetMs ? 1 : 0;
        }
        catch (err) {
            const wasRejected = (err as { outcome?: string; }).outcome === "not-run";
            this.refused += wasRejected ? 1 : 0;
            this.failed += wasRejected ? 0 : 1;
        }
    }

    private createJob(request: TraceRequest, entry: Entry): Job {
        const prefix = `${request.model}/${request.prefix}`;
        return {
            requestId: "r",
            resource: request.target,
            demandName: request.model,
            method: "POST",
            path: "/",
            headers: [],
            repeatable: true,
            idempotencyKey: undefined,
            fingerprint: "",
            caller: "c",
            priority: 5,
            prefix,
            deadline: Date.now() + requestTimeoutMs,
            startBy: Date.now() + firstTokenTargetMs,
            signal: this.stopping.signal,
            requiresEndMarker: () => false,
            bodyFor: model => Buffer.from(JSON.stringify({ model, tokens: request.tokens, prefix })),
            replicas: () => entry.table.replicasOf(request.target),
            unplaceableReason: () => undefined,
            revision: () => 1,
        };
    }

    private applyEvent(kind: Trace["events"][number]["kind"]): void {
        const [worker] = this.engines;
        const affectedEngines = this.engines.filter(({ spec }) => spec.dataCentre === dataCentres[1]);
        switch (kind) {
            case "lose-worker":
                worker.crash();
                break;
            case "return-worker":
                worker.recover();
                break;
            case "lose-data-centre":
                affectedEngines.forEach(engine => engine.crash());
                break;
            case "return-data-centre":
                affectedEngines.forEach(engine => engine.recover());
                break;
            case "roll-version":
                this.version += 1;
                this.catalogue = this.createCatalogue();
                break;
        }
    }

    private createCatalogue(): Catalogue {
        const resources = this.trace.models.flatMap(({ name, gibibytes, adapters }, index): Resource[] => {
            const isUpdated = index % Math.ceil(this.trace.models.length / updatedModels) === 0;
            const version = String(isUpdated ? this.version : 1);
            const common = { version: 1, operator: "o", changeId: "c" };
            return [
                { ...common, kind: "Model", name, spec: { version, memory: `${gibibytes} GiB`, maxReplicas: 6 } },
                ...adapters.map((adapter): Resource => ({
                    ...common,
                    kind: "Adapter",
                    name: adapter,
                    spec: { model: name, version: "1", memory: "100 MiB" },
                })),
            ];
        });
        const byName = (a: Resource, b: Resource) => a.name < b.name ? -1 : 1;
        return new Catalogue(this.version, resources.sort(byName));
    }

    private createController(): PlacementController {
        return new PlacementController({
            log: {
                leadingTerm: 1,
                propose: async command => this.ledger.apply(command, { term: 1, index: ++this.logIndex }),
            },
            ledger: this.ledger,
            registrar: this.leaderRegistrar,
            orders: { send: async (url, order) => this.findEngine(url).receiveOrder(order) },
            placer: this.policy.placer,
            demand: this.demand,
            catalogue: () => this.catalogue,
            timeline: this.timeline,
            moveCost: this.fleet.moveCost,
            storeRate: this.fleet.storeRate,
            storeConcurrency: this.fleet.storeConcurrency,
        });
    }

    private async sendReports(controller: PlacementController, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            for (const engine of this.engines.filter(({ isAlive }) => isAlive)) {
                const report = engine.buildReport();
                this.allRegistrars().forEach(registrar => registrar.receive(create(ReportRequestSchema, report)));
            }
            this.entries.forEach(entry => entry.policy.upstreamsChanged());
            controller.wake.notify();
            await sleep(reportIntervalMs);
        }
    }

    private async sendDemand(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await sleep(demandIntervalMs);
            for (const { dataCentre, policy } of this.entries) {
                const models = policy.readDemand().map(sample => create(ModelDemandSchema, sample));
                this.demand.record(
                    create(ReportDemandRequestSchema, { entry: dataCentre, intervalMs: demandIntervalMs, models }),
                );
            }
        }
    }

    private allRegistrars(): Registrar[] {
        return [this.leaderRegistrar, ...this.entries.map(entry => entry.registrar)];
    }

    private findEngine(url: string): SimulatedEngine {
        return this.engines.find(engine => engine.url === url)!;
    }

    private createClient(url: string, dataCentre: string) {
        const engine = this.findEngine(url);
        return engine.client(engine.spec.dataCentre === dataCentre ? 0 : this.fleet.networkDelayMs);
    }

    private countMoves(): number {
        return this.engines.reduce((sum, engine) => sum + engine.moves, 0);
    }

    /** Advances the mocked clock in steps, and runs pending I/O callbacks after each step. */
    private async advanceTime(ms: number, step = tickMs): Promise<void> {
        for (let passed = 0; passed < ms; passed += step) {
            mock.timers.tick(step);
            await new Promise(resolve => setImmediate(resolve));
        }
    }
}
