/** Sends load and unload orders to one engine, one at a time, and tracks each until it has taken effect. */
import { clone } from "@bufbuild/protobuf";
import { type EventLog, sleep, steadyNow } from "@winchpath/core";
import { type HeldModel, HeldModelSchema, type Upstream } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import {
    applyOrder,
    createHeldModel,
    heldAdapterNames,
    isAdapterUnload,
    qualifiedAdapterName,
    removeModel,
} from "./heldmodels.js";
import { describeOrder, type EngineClient, type EngineOrder, type Fence, OrderReply } from "./orders.js";
import { type Registry } from "./registries.js";

/** Delay before an unanswered order is sent again, in milliseconds. */
const retryDelayMs = 300;
/** Maximum age of the state in a report, in milliseconds. Reports are read only this long after the last reply. */
const maxReportAgeMs = 400;
/** Attempts to send an order before the engine's state is read again. */
const maxAttempts = 8;
/** Delays between checks whether an adapter has been loaded, in milliseconds; a new one takes tens to hundreds. */
const adapterPollDelaysMs = [15, 30, 60, 100, 150, 200, 300, 400, 600];
/** Interval for checking whether a model order has finished before an adapter is polled, in milliseconds. */
const busyPollMs = 50;
/** Once the expected duration of a model order has passed, it is polled with exponential backoff, in milliseconds. */
const minModelPollMs = 25;
const maxModelPollMs = 200;
const modelPollGrowth = 1.5;
/** A model order is given up after this multiple of its expected duration: it has failed, or the store is overloaded. */
const modelTimeoutFactor = 5;
/** An adapter unload that waits for running requests is polled with exponential backoff, in milliseconds. */
const minUnloadPollMs = 60;
const maxUnloadPollMs = 500;
const unloadPollGrowth = 1.5;
/** Adapters that one engine may be loading at the same time. */
const maxConcurrentAdapterLoads = 4;

/** Callbacks of an order dispatcher. */
export interface OrderDispatcherOwner {
    /** The fence for the next order; undefined once this host may no longer send orders. */
    fence(): Fence | undefined;
    /** Called before each order is sent. */
    onOrderSent(): void;
    /** Called when the engine refuses connections. */
    onUnreachable(upstream: string): void;
    /** Called when the engine has seen a higher fencing token. */
    onFenced(upstream: string): void;
    /** Called when a model that was to be loaded is held already, loaded at a time that isn't known. */
    onAlreadyHeld(upstream: string, model: string): void;
    /** Called when the engine's models or adapters change, or when it can take another order. */
    onChange(): void;
}

/** Sends orders to one engine. Model orders run one at a time; adapter orders may overlap. */
export class OrderDispatcher {
    /** Models being loaded. */
    private readonly loading = new Set<string>();
    /** Adapters being loaded, as "model/adapter". */
    private readonly transits = new Set<string>();
    /** Adapters whose unload waits for running requests, as "model/adapter". */
    private readonly departures = new Set<string>();
    /** Adapters that this dispatcher has loaded and not unloaded since. */
    private readonly loaded = new Set<string>();
    /** Lower bound of the number of orders that the engine has accepted; undefined while its state has to be read. */
    private expected: number | undefined;
    /** Whether an order is being executed or a report read. */
    private occupied = false;
    private hasReadReport = false;
    /** Monotonic time of the last reply to an order. */
    private lastReplyAt = Number.NEGATIVE_INFINITY;
    private stopped = false;

    public constructor(
        private readonly id: string,
        private readonly registry: Registry,
        private readonly engineClient: EngineClient,
        private readonly owner: OrderDispatcherOwner,
        private readonly log: EventLog,
    ) {}

    /** Whether the next order can be sent. */
    public get isReady(): boolean {
        return !this.occupied && !this.stopped && this.expected !== undefined;
    }

    /** Whether the engine has ever reported to this dispatcher that no model order was in progress. */
    public get hasSeenIdle(): boolean {
        return this.hasReadReport;
    }

    public get loadingModels(): readonly string[] {
        return [...this.loading];
    }

    /** Adapters being loaded, as "model/adapter". */
    public get loadingAdapters(): ReadonlySet<string> {
        return this.transits;
    }

    /** Adapters being unloaded, as "model/adapter". They occupy their slots until their last request ends. */
    public get unloadingAdapters(): ReadonlySet<string> {
        return this.departures;
    }

    public get availableAdapterLoads(): number {
        return this.isReady ? maxConcurrentAdapterLoads - this.transits.size : 0;
    }

    /** Stops sending orders. */
    public stop(): void {
        this.stopped = true;
    }

    /** Reads the models and adapters that the engine holds, and how many orders it has accepted. */
    public async refresh(): Promise<void> {
        const upstream = this.upstream;
        if (upstream === undefined || this.occupied) {
            return;
        }
        this.occupied = true;
        try {
            await this.readReport(upstream);
        }
        finally {
            this.occupied = false;
            this.owner.onChange();
        }
    }

    /** Executes an order; resolves once the engine can take another. */
    public async execute(order: EngineOrder, expectedMs: number): Promise<void> {
        this.occupied = true;
        if (order.kind === "load" && order.adapter === "") {
            // Listed before it is accepted, so that the planner does not load it on another engine as well.
            this.loading.add(order.model);
        }
        try {
            await this.sendUntilAnswered(order, expectedMs);
        }
        finally {
            this.loading.delete(order.model);
            this.occupied = false;
            this.owner.onChange();
        }
    }

    private get upstream(): Upstream | undefined {
        return this.stopped ? undefined : this.registry.get(this.id)?.upstream;
    }

    private async sendUntilAnswered(order: EngineOrder, expectedMs: number): Promise<void> {
        if (order.kind === "unload" && order.adapter === "") {
            this.markUnloading(order.model);
        }
        for (let attempt = 0; attempt < maxAttempts; attempt++) {
            switch (await this.send(order)) {
                case OrderReply.accepted:
                    this.updateExpected(order);
                    await this.trackCompletion(order, expectedMs);
                    return;
                case OrderReply.done:
                    if (isAdapterUnload(order)) {
                        // An unused adapter is unloaded at once, and the engine counts that as an order.
                        this.updateExpected(order);
                    }
                    if (order.kind === "load" && order.adapter === "") {
                        this.owner.onAlreadyHeld(this.id, order.model);
                    }
                    this.recordCompletion(order);
                    return;
                case OrderReply.fenced:
                case OrderReply.refused:
                case OrderReply.unreachable:
                    this.expected = undefined;
                    return;
                case OrderReply.conflict:
                    // The engine has accepted other orders since this one was planned, so it may no longer fit.
                    // Resending it with the new count could overload the engine: leave it to the next plan.
                    this.log.info("order.outdated", { upstream: this.id, order: describeOrder(order) });
                    await this.invalidateAndRead();
                    return;
                case OrderReply.unknown:
                    // Sent again with the same count, so that the engine accepts at most one copy.
                    await sleep(retryDelayMs);
                    break;
            }
        }
        this.expected = undefined;
    }

    /**
     * Adjusts the expected count after an order. The engine does not count the unload of an adapter that is absent or
     * already being unloaded, but sends the same reply, so only unloads of adapters that this dispatcher has loaded
     * certainly count. If the expected count were too high, the engine could accept a late copy of an order in a state
     * that it was not planned for.
     */
    private updateExpected(order: EngineOrder): void {
        const isCounted = !isAdapterUnload(order) || this.loaded.delete(qualifiedAdapterName(order));
        // A failed adapter load may have cleared the count while this order was in flight.
        this.expected = isCounted && this.expected !== undefined ? this.expected + 1 : undefined;
    }

    /** Waits while the engine has asked this host to back off. */
    private async waitForBackoff(): Promise<void> {
        for (let upstream = this.upstream; upstream !== undefined; upstream = this.upstream) {
            const ms = this.engineClient.backoffMs(upstream);
            if (ms <= 0) {
                return;
            }
            await sleep(ms);
        }
    }

    private async send(order: EngineOrder): Promise<OrderReply> {
        await this.waitForBackoff();
        const { upstream } = this;
        const fence = this.owner.fence();
        if (upstream === undefined || fence === undefined || this.expected === undefined) {
            return OrderReply.refused;
        }
        const sentAt = steadyNow();
        this.owner.onOrderSent();
        const reply = await this.engineClient.sendOrder(upstream, order, this.expected, fence);
        this.lastReplyAt = steadyNow();
        this.log.info("order.sent", {
            upstream: this.id,
            order: describeOrder(order),
            expected: this.expected,
            token: fence.token,
            held: heldAdapterNames(upstream).length,
            underWay: this.transits.size,
            leaving: this.departures.size,
            reply,
            tookMs: Math.round(steadyNow() - sentAt),
        });
        if (reply === OrderReply.fenced) {
            this.owner.onFenced(this.id);
        }
        if (reply === OrderReply.unreachable) {
            this.owner.onUnreachable(this.id);
        }
        return reply;
    }

    private async trackCompletion(order: EngineOrder, expectedMs: number): Promise<void> {
        if (order.adapter === "") {
            await this.trackModelOrder(order, expectedMs);
        }
        else if (order.kind === "load") {
            // Not awaited: the engine takes other orders meanwhile.
            void this.trackAdapterLoad(order);
        }
        else {
            // Not awaited: the engine takes other orders meanwhile, but the adapter's slot is still occupied.
            void this.trackAdapterUnload(order);
        }
    }

    private async trackModelOrder(order: EngineOrder, expectedMs: number): Promise<void> {
        const deadline = steadyNow() + expectedMs * modelTimeoutFactor + modelTimeoutFactor * 1000;
        if (order.kind === "load") {
            // Tells entries when the model will be ready, so that they can hold or reject requests for it.
            this.updateModels(models => models.push(createHeldModel(order.model, expectedMs + minModelPollMs)));
        }
        await sleep(expectedMs);
        let pollMs = minModelPollMs;
        while (steadyNow() < deadline && this.upstream !== undefined) {
            await sleep(pollMs);
            pollMs = Math.min(maxModelPollMs, pollMs * modelPollGrowth);
            const reply = await this.send(order);
            if (reply === OrderReply.done) {
                this.recordCompletion(order);
                return;
            }
            // `accepted` means still in progress; the order is not counted twice.
            if (isFinal(reply)) {
                break;
            }
        }
        this.updateModels(models => removeModel(models, order.model, held => held.readyInMs > 0));
        this.expected = undefined;
    }

    private async trackAdapterLoad(order: EngineOrder): Promise<void> {
        const name = qualifiedAdapterName(order);
        this.transits.add(name);
        this.owner.onChange();
        if (await this.waitForAdapterLoad(order)) {
            this.loaded.add(name);
            this.recordCompletion(order);
        }
        else {
            // It may occupy a slot nevertheless: read the engine's state before the next order.
            this.expected = undefined;
        }
        this.transits.delete(name);
        this.owner.onChange();
    }

    /** Polls an accepted adapter load; returns whether it has completed. */
    private async waitForAdapterLoad(order: EngineOrder): Promise<boolean> {
        for (const delayMs of adapterPollDelaysMs) {
            await sleep(delayMs);
            while (this.occupied && this.upstream !== undefined) {
                // The engine rejects adapter orders while it loads or unloads a model.
                await sleep(busyPollMs);
            }
            const reply = await this.send(order);
            if (reply === OrderReply.done) {
                return true;
            }
            if (isFinal(reply)) {
                return false;
            }
        }
        return false;
    }

    /** Tracks an adapter unload that waits for running requests; its slot is free once the engine replies `done`. */
    private async trackAdapterUnload(order: EngineOrder): Promise<void> {
        const name = qualifiedAdapterName(order);
        this.log.info("adapter.leaving", { upstream: this.id, adapter: name });
        this.departures.add(name);
        this.updateModels(models => applyOrder(models, order));
        this.owner.onChange();
        await this.waitForAdapterUnload(order);
        this.departures.delete(name);
        this.log.info("adapter.left", { upstream: this.id, adapter: name });
        this.owner.onChange();
    }

    /** Resolves once the adapter or its model is unloaded, or this dispatcher has stopped. */
    private async waitForAdapterUnload(order: EngineOrder): Promise<void> {
        let pollMs = minUnloadPollMs;
        while (this.upstream !== undefined) {
            await sleep(pollMs);
            pollMs = Math.min(maxUnloadPollMs, pollMs * unloadPollGrowth);
            if (!this.holdsModel(order.model)) {
                return;
            }
            if (this.isReady && await this.isUnloaded(order)) {
                return;
            }
        }
    }

    private async isUnloaded(order: EngineOrder): Promise<boolean> {
        const reply = await this.send(order);
        if (reply === OrderReply.conflict && !this.occupied) {
            // The engine has accepted orders from another sender: read its state before the next order.
            this.expected = undefined;
        }
        return reply === OrderReply.done;
    }

    private holdsModel(model: string): boolean {
        return this.upstream?.models.some(({ name }) => name === model) === true;
    }

    private markUnloading(model: string): void {
        this.updateModels(models => models.filter(held => held.name === model).forEach(held => held.leaving = true));
    }

    private recordCompletion(order: EngineOrder): void {
        this.log.info("order.done", { upstream: this.id, order: describeOrder(order) });
        this.updateModels(models => applyOrder(models, order));
        this.owner.onChange();
    }

    private updateModels(edit: (models: HeldModel[]) => void): void {
        const { upstream } = this;
        if (upstream !== undefined) {
            const models = upstream.models.map(model => clone(HeldModelSchema, model));
            edit(models);
            this.registry.setModels(this.id, models);
        }
    }

    private async invalidateAndRead(): Promise<void> {
        const { upstream } = this;
        this.expected = undefined;
        if (upstream !== undefined) {
            await this.readReport(upstream);
        }
    }

    /** Applies a report of the engine, unless it is loading or unloading a model. */
    private async readReport(upstream: Upstream): Promise<void> {
        // A report from before the last order took effect would overstate the free capacity.
        await sleep(Math.max(0, this.lastReplyAt + maxReportAgeMs - steadyNow()));
        await this.waitForBackoff();
        const report = await this.engineClient.fetchReport(upstream);
        if (report === undefined) {
            return;
        }
        if (report.busy) {
            // The report omits what is being loaded, so it would overstate the free capacity.
            this.log.info("engine.busy", { upstream: this.id, orders: report.orders });
            return;
        }
        this.hasReadReport = true;
        this.expected = report.orders;
        this.loaded.clear();
        this.registry.setModels(this.id, report.models.map(model => this.withoutUnloadingAdapters(model)));
        this.log.info("engine.read", {
            upstream: this.id,
            orders: report.orders,
            models: report.models.map(model => model.name),
            adapters: heldAdapterNames(report),
        });
    }

    /** Removes adapters that are being unloaded: reports list them until their last request ends. */
    private withoutUnloadingAdapters(model: HeldModel): HeldModel {
        const copy = clone(HeldModelSchema, model);
        copy.adapters = copy.adapters.filter(adapter => !this.departures.has(`${model.name}/${adapter}`));
        return copy;
    }
}

/** Whether a retry can't succeed. */
function isFinal(reply: OrderReply): boolean {
    return reply === OrderReply.fenced || reply === OrderReply.refused || reply === OrderReply.unreachable;
}
