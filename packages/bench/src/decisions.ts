/** Drives the decision code with a trace, on the paused clock, against engines in memory. */
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
import { MeasuredEngine } from "./engines.js";
import { type EntryPolicy, type Policy } from "./policies.js";
import { type Fleet, type Trace, type TraceRequest } from "./traces.js";

/** Targets of the letter: first token, and time between tokens. */
const firstTokenMs = 670;
const betweenTokensMs = 36;
const requestMs = 30_000;
const tickMs = 5;
const reportMs = 250;
const demandMs = 1000;
/** Long enough for everything, spares too, to be loaded. */
const warmUpMs = 300_000;
const warmUpTickMs = 50;
const dataCentres = ["d0", "d1", "d2"];
const rolledModels = 4;

/** What came of a trace. */
export interface DecisionFigures {
    /** Share of the requests that were served within target. */
    readonly attainment: number;
    /** Requests served within target, a second and accelerator. */
    readonly perAccelerator: number;
    /** Loads and unloads after the first placement. */
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

/** Runs a trace; the clock of the process is mocked meanwhile. */
export async function measureDecisions(fleet: Fleet, trace: Trace, policy: Policy): Promise<DecisionFigures> {
    mock.timers.enable({ apis: ["setTimeout", "Date"], now: 1_800_000_000_000 });
    try {
        return await new World(fleet, trace, policy).run();
    }
    finally {
        mock.timers.reset();
    }
}

class World {
    private readonly timeline = new Timeline({ process: "measure", host: "h", dataCentre: "d" }, 100);
    private readonly engines: MeasuredEngine[];
    private readonly entries: Entry[];
    private readonly ledger = new Ledger();
    private readonly demand = new DemandTracker();
    private readonly leaderRegistrar = new Registrar(this.timeline);
    private readonly stopping = new AbortController();
    private catalogue: Catalogue;
    private version = 1;
    private logIndex = 0;
    private within = 0;
    private refused = 0;
    private failed = 0;

    public constructor(private readonly fleet: Fleet, private readonly trace: Trace, private readonly policy: Policy) {
        this.catalogue = this.makeCatalogue();
        this.engines = Array.from({ length: fleet.workers }, (_, index) =>
            new MeasuredEngine({
                name: `e${String(index).padStart(2, "0")}`,
                dataCentre: dataCentres[index % dataCentres.length],
                // Older and newer cards side by side.
                gibibytes: index % 2 === 0 ? 24 : 40,
                speed: index % 2 === 0 ? 1 : 2,
            }));
        this.entries = dataCentres.map(dataCentre => {
            const registrar = new Registrar(this.timeline);
            const agents = { connect: (url: string) => this.clientOf(url, dataCentre) };
            const table = new RoutingTable({
                registrar,
                catalogue: () => this.catalogue,
                drainedSince: () => new Map(),
            });
            return { registrar, table, dataCentre, policy: policy.newEntry(dataCentre, agents, registrar) };
        });
    }

    public async run(): Promise<DecisionFigures> {
        const controller = this.newController();
        const { signal } = this.stopping;
        void controller.run(signal);
        this.registrars().forEach(registrar => void registrar.run(signal));
        void this.feedReports(controller, signal);
        void this.feedDemand(signal);
        await this.pass(warmUpMs, warmUpTickMs);
        const before = this.moves();
        const answers = await this.play();
        await this.pass(requestMs + 1000);
        await Promise.all(answers);
        this.stopping.abort();
        await this.pass(1000);
        const requests = this.trace.requests.length;
        return {
            attainment: this.within / requests,
            perAccelerator: this.within / (this.trace.durationMs / 1000) / this.fleet.workers,
            moves: this.moves() - before,
            refused: this.refused,
            failed: this.failed,
            requests,
        };
    }

    private async play(): Promise<Promise<void>[]> {
        const answers: Promise<void>[] = [];
        const requests = [...this.trace.requests];
        const events = [...this.trace.events];
        const startedAt = Date.now();
        for (let number = 0; Date.now() - startedAt < this.trace.durationMs;) {
            const now = Date.now() - startedAt;
            while (number < requests.length && requests[number].at <= now) {
                answers.push(this.ask(requests[number], this.entries[number % this.entries.length]));
                number += 1;
            }
            while (events.length > 0 && events[0].at <= now) {
                this.happen(events.shift()!.kind);
            }
            await this.pass(tickMs);
        }
        return answers;
    }

    private async ask(request: TraceRequest, entry: Entry): Promise<void> {
        const startedAt = Date.now();
        let firstAt = 0;
        try {
            await entry.policy.handle(this.jobFor(request, entry), () => {
                firstAt ||= Date.now();
            });
            const perToken = (Date.now() - firstAt) / request.tokens;
            this.within += firstAt - startedAt <= firstTokenMs && perToken <= betweenTokensMs ? 1 : 0;
        }
        catch (err) {
            const told = (err as { outcome?: string; }).outcome === "not-run";
            this.refused += told ? 1 : 0;
            this.failed += told ? 0 : 1;
        }
    }

    private jobFor(request: TraceRequest, entry: Entry): Job {
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
            deadline: Date.now() + requestMs,
            startBy: Date.now() + firstTokenMs,
            signal: this.stopping.signal,
            requiresEndMarker: () => false,
            bodyFor: model => Buffer.from(JSON.stringify({ model, tokens: request.tokens, prefix })),
            replicas: () => entry.table.replicasOf(request.target),
            unplaceableReason: () => undefined,
            revision: () => 1,
        };
    }

    private happen(kind: Trace["events"][number]["kind"]): void {
        const [worker] = this.engines;
        const centre = this.engines.filter(({ shape }) => shape.dataCentre === dataCentres[1]);
        switch (kind) {
            case "lose-worker":
                worker.lose();
                break;
            case "return-worker":
                worker.comeBack();
                break;
            case "lose-data-centre":
                centre.forEach(engine => engine.lose());
                break;
            case "return-data-centre":
                centre.forEach(engine => engine.comeBack());
                break;
            case "roll-version":
                this.version += 1;
                this.catalogue = this.makeCatalogue();
                break;
        }
    }

    private makeCatalogue(): Catalogue {
        const resources = this.trace.models.flatMap(({ name, gibibytes, adapters }, index): Resource[] => {
            const rolled = index % Math.ceil(this.trace.models.length / rolledModels) === 0;
            const version = String(rolled ? this.version : 1);
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

    private newController(): PlacementController {
        return new PlacementController({
            log: {
                leadingTerm: 1,
                propose: async command => this.ledger.apply(command, { term: 1, index: ++this.logIndex }),
            },
            ledger: this.ledger,
            registrar: this.leaderRegistrar,
            orders: { send: async (url, order) => this.engineAt(url).order(order) },
            placer: this.policy.placer,
            demand: this.demand,
            catalogue: () => this.catalogue,
            timeline: this.timeline,
            moveCost: this.fleet.moveCost,
            storeRate: this.fleet.storeRate,
            storeConcurrency: this.fleet.storeConcurrency,
        });
    }

    private async feedReports(controller: PlacementController, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            for (const engine of this.engines.filter(({ alive }) => alive)) {
                const report = engine.report();
                this.registrars().forEach(registrar => registrar.receive(create(ReportRequestSchema, report)));
            }
            this.entries.forEach(entry => entry.policy.upstreamsChanged());
            controller.wake.notify();
            await sleep(reportMs);
        }
    }

    private async feedDemand(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await sleep(demandMs);
            for (const { dataCentre, policy } of this.entries) {
                const models = policy.readDemand().map(sample => create(ModelDemandSchema, sample));
                this.demand.record(
                    create(ReportDemandRequestSchema, { entry: dataCentre, intervalMs: demandMs, models }),
                );
            }
        }
    }

    private registrars(): Registrar[] {
        return [this.leaderRegistrar, ...this.entries.map(entry => entry.registrar)];
    }

    private engineAt(url: string): MeasuredEngine {
        return this.engines.find(engine => engine.url === url)!;
    }

    private clientOf(url: string, dataCentre: string) {
        const engine = this.engineAt(url);
        return engine.client(engine.shape.dataCentre === dataCentre ? 0 : this.fleet.distanceMs);
    }

    private moves(): number {
        return this.engines.reduce((sum, engine) => sum + engine.moves, 0);
    }

    /** Lets time pass, and everything happen that is due by then. */
    private async pass(ms: number, step = tickMs): Promise<void> {
        for (let passed = 0; passed < ms; passed += step) {
            mock.timers.tick(step);
            await new Promise(resolve => setImmediate(resolve));
        }
    }
}
