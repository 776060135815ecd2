/** Simulated engine with limited adapter slots, and leaders that send it orders. */
import { create } from "@bufbuild/protobuf";
import { silentLog, sleep, steadyNow } from "@winchpath/core";
import { type Configuration, ModelSizeHistory } from "@winchpath/declarations";
import { MismatchSchema } from "../gen/winchpath/fleet/v1/fleet_pb.js";
import {
    DemandRequestSchema,
    DemandTracker,
    type EngineClient,
    type EngineOrder,
    type EngineReport,
    HeldModelSchema,
    OrderReply,
    PlacementController,
    Registry,
} from "../index.js";
import { createAnnouncement, spec } from "./fixtures.js";

/** Memory for three models and as many adapters as there are slots. */
const engineSpec = { ...spec, memoryMb: 302 };
/** Age of the state in a report, in milliseconds. */
const reportAgeMs = 200;
/** Duration of an adapter load, in milliseconds. */
const adapterLoadMs = 14;
const modelLoadMs = 80;
/** Interval at which a model unload checks for running requests, in milliseconds. */
const requestPollMs = 5;
/** Adapters that the engine loads at the same time. */
const maxConcurrentAdapterLoads = 4;
/** Interval at which demand is reported to leaders, in milliseconds. */
const demandReportMs = 400;

interface HeldAdapter {
    state: "coming" | "held" | "leaving";
}

interface TimedReport {
    readonly at: number;
    readonly report: EngineReport;
}

/**
 * What the engine checks first: the expected count, or whether the requested state is already reached. The platform's
 * specification allows both.
 */
export type FirstCheck = "number" | "content";

/** Follows the platform's specification of orders, adapter slots and reports; crashes if ordered over its capacity. */
export class SimulatedEngine {
    /** The order that exceeded the engine's capacity. */
    public crashedBy: EngineOrder | undefined;
    public accepted = 0;
    public readonly orders: EngineOrder[] = [];
    /**
     * Orders whose expected count was too high: delivered later, they could be accepted in a state that they were not
     * planned for.
     */
    public readonly ordersAhead: EngineOrder[] = [];
    /** Adapters with running requests, as "model/adapter". */
    private readonly inUse = new Set<string>();
    private readonly models = new Map<string, Map<string, HeldAdapter>>();
    private busy = false;
    private reports: TimedReport[] = [];

    public constructor(
        held: Readonly<Record<string, readonly string[]>>,
        private readonly firstCheck: FirstCheck = "number",
    ) {
        for (const [model, adapters] of Object.entries(held)) {
            this.models.set(model, new Map(adapters.map(name => [name, { state: "held" }])));
        }
        this.publishReport();
    }

    /** Adapters that occupy a slot, as "model/adapter". */
    public get placed(): string[] {
        return [...this.models].flatMap(([model, adapters]) =>
            [...adapters.keys()].map(adapter => `${model}/${adapter}`)
        );
    }

    /** Key of the engine's state. */
    public get state(): unknown {
        return {
            accepted: this.accepted,
            busy: this.busy,
            models: [...this.models].map(([name, held]) => [name, ...held]),
        };
    }

    public get modelNames(): string[] {
        return [...this.models.keys()];
    }

    /** Whether an adapter can serve new requests. */
    public holds(name: string): boolean {
        const [model, adapter] = name.split("/");
        return this.models.get(model)?.get(adapter)?.state === "held";
    }

    /** Marks an adapter as having running requests. */
    public use(name: string): void {
        this.inUse.add(name);
    }

    /** Marks an adapter as idle, and completes its unload if one is in progress. */
    public release(name: string): void {
        this.inUse.delete(name);
        const [model, adapter] = name.split("/");
        if (this.models.get(model)?.get(adapter)?.state === "leaving") {
            this.models.get(model)!.delete(adapter);
            this.publishReport();
        }
    }

    public order(order: EngineOrder, expected: number): OrderReply {
        this.orders.push(order);
        if (this.crashedBy !== undefined) {
            return OrderReply.unreachable;
        }
        if (expected > this.accepted) {
            this.ordersAhead.push(order);
        }
        if (this.busy || (this.firstCheck === "number" && expected !== this.accepted)) {
            return OrderReply.conflict;
        }
        const unchangedReply = this.replyIfUnchanged(order);
        if (unchangedReply !== undefined) {
            return unchangedReply;
        }
        if (expected !== this.accepted) {
            return OrderReply.conflict;
        }
        const reply = order.adapter === "" ? this.orderModel(order) : this.orderAdapter(order);
        if (!this.isWithinCapacity()) {
            this.crashedBy = order;
        }
        this.publishReport();
        return reply;
    }

    public report(): EngineReport | undefined {
        const from = steadyNow() - reportAgeMs;
        return this.crashedBy === undefined
            ? (this.reports.findLast(({ at }) => at <= from) ?? this.reports[0]).report
            : undefined;
    }

    /** The reply to an order that changes nothing; undefined for all others. */
    private replyIfUnchanged({ kind, model, adapter }: EngineOrder): OrderReply | undefined {
        const adapters = this.models.get(model);
        if (adapter === "") {
            return (adapters !== undefined) === (kind === "load") ? OrderReply.done : undefined;
        }
        const state = adapters?.get(adapter)?.state;
        if (state === undefined) {
            return kind === "unload" && adapters !== undefined ? OrderReply.done : undefined;
        }
        if (kind === "load") {
            return state === "held" ? OrderReply.done : OrderReply.accepted;
        }
        return state === "leaving" ? OrderReply.accepted : undefined;
    }

    /** Starts loading or unloading a model. */
    private orderModel({ kind, model }: EngineOrder): OrderReply {
        this.accepted += 1;
        this.busy = true;
        if (kind === "load") {
            this.models.set(model, new Map());
            void this.changeLater(modelLoadMs, () => this.busy = false);
        }
        else {
            void this.dropModel(model);
        }
        return OrderReply.accepted;
    }

    /** Waits for running requests, then drops the model with its adapters. */
    private async dropModel(model: string): Promise<void> {
        while ([...this.inUse].some(name => name.startsWith(`${model}/`))) {
            await sleep(requestPollMs);
        }
        this.models.delete(model);
        this.busy = false;
        this.publishReport();
    }

    private orderAdapter({ kind, model, adapter }: EngineOrder): OrderReply {
        const adapters = this.models.get(model);
        if (adapters === undefined) {
            return OrderReply.refused;
        }
        return kind === "load" ? this.loadAdapter(adapters, adapter) : this.unloadAdapter(model, adapters, adapter);
    }

    private loadAdapter(adapters: Map<string, HeldAdapter>, name: string): OrderReply {
        const loading = [...this.models.values()].flatMap(each => [...each.values()])
            .filter(({ state }) => state === "coming");
        if (loading.length >= maxConcurrentAdapterLoads) {
            return OrderReply.conflict;
        }
        this.accepted += 1;
        const held: HeldAdapter = { state: "coming" };
        adapters.set(name, held);
        void this.changeLater(adapterLoadMs, () => held.state = "held");
        return OrderReply.accepted;
    }

    private unloadAdapter(model: string, adapters: Map<string, HeldAdapter>, name: string): OrderReply {
        this.accepted += 1;
        if (this.inUse.has(`${model}/${name}`)) {
            adapters.get(name)!.state = "leaving";
            return OrderReply.accepted;
        }
        adapters.delete(name);
        return OrderReply.done;
    }

    private isWithinCapacity(): boolean {
        const usedMb = this.models.size * engineSpec.models[0].sizeMb
            + this.placed.length * engineSpec.models[0].adapterMb;
        return this.placed.length <= engineSpec.adapterPlaces && usedMb <= engineSpec.memoryMb;
    }

    private async changeLater(ms: number, change: () => void): Promise<void> {
        await sleep(ms);
        change();
        this.publishReport();
    }

    private publishReport(): void {
        const models = [...this.models].map(([name, adapters]) =>
            create(HeldModelSchema, { name, adapters: [...adapters.keys()] })
        );
        this.reports.push({ at: steadyNow(), report: { orders: this.accepted, busy: this.busy, models } });
    }
}

/** Demand for one model or adapter, as entries report it to a leader. */
export interface ReportedDemand {
    readonly model: string;
    readonly adapter: string;
    readonly running: number;
    readonly waiting: number;
}

/** Transport of an order to the engine and of its reply to the sender. */
export type SendOrder = (order: EngineOrder, expected: number) => Promise<OrderReply>;

/** A leader's registry, demand and placement, for the single engine "u". */
export class SimulatedLeader {
    public readonly registry = new Registry(silentLog);
    private readonly demand = new DemandTracker(silentLog);
    private readonly stopped = new AbortController();
    private readonly placement: PlacementController;

    public constructor(
        private readonly engine: SimulatedEngine,
        private readonly needs: () => readonly ReportedDemand[],
        private readonly send: SendOrder = async (order, expected) => engine.order(order, expected),
    ) {
        this.registry.announce(createAnnouncement("u", 1));
        const control = {
            announceMs: 60_000,
            fence: () => ({ holder: "h", token: 7 }),
            orderSent: () => undefined,
            configuration: { services: [{ name: "s", engine: engineSpec }] } as unknown as Configuration,
            documents: { modelSizes: new ModelSizeHistory() },
        };
        this.placement = new PlacementController(control, this.registry, this.demand, this.engineCalls(), silentLog);
    }

    public start(): void {
        void this.placement.run(this.stopped.signal);
        void this.reportDemand();
    }

    public end(): void {
        this.stopped.abort();
    }

    /** The leader's view of the engine, with private fields of its dispatcher read by name. */
    public get state(): unknown {
        const dispatcher = (Reflect.get(this.placement, "lines") as Map<string, object>).get("u") ?? {};
        const fields = ["expected", "occupied", "loading", "transits", "departures", "loaded"];
        const listedModels = this.registry.get("u")!.upstream.models.map((
            { name, adapters, leaving },
        ) => [name, adapters, leaving]);
        return [listedModels, ...fields.map(field => toPlain(Reflect.get(dispatcher, field)))];
    }

    private async reportDemand(): Promise<void> {
        while (!this.stopped.signal.aborted) {
            this.demand.take(create(DemandRequestSchema, {
                entry: "e",
                intervalMs: demandReportMs,
                items: this.needs().map(need => ({ service: "s", arrived: need.running + need.waiting, ...need })),
            }));
            this.reportMismatches();
            this.placement.notify();
            await sleep(demandReportMs);
        }
    }

    /** Reports requested adapters that are listed for the engine but that it does not hold. */
    private reportMismatches(): void {
        const held = this.registry.get("u")!.upstream.models;
        for (const { model, adapter, running, waiting } of this.needs()) {
            const isListed = held.some(({ name, adapters }) => name === model && adapters.includes(adapter));
            if (isListed && running + waiting > 0 && !this.engine.holds(`${model}/${adapter}`)) {
                this.placement.resyncAfterMismatch(create(MismatchSchema, { upstream: "u", model, adapter }));
            }
        }
    }

    private engineCalls(): EngineClient {
        return {
            sendOrder: (_upstream, order, expected) => this.send(order, expected),
            fetchReport: async () => this.engine.report(),
            backoffMs: () => 0,
        };
    }
}

function toPlain(value: unknown): unknown {
    return value instanceof Set ? [...value] : value;
}
