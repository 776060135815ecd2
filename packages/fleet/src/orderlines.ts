/** The task that gives orders to one engine, one after the other, and knows what became of them. */
import { clone } from "@bufbuild/protobuf";
import { type EventLog, sleep, steadyNow } from "@winchpath/core";
import { type HeldModel, HeldModelSchema, type Upstream } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { adapterName, applyOrder, heldAdapters, isAdapterUnload, remove } from "./heldmodels.js";
import { describeOrder, type EngineCalls, type EngineOrder, type Fence, OrderReply } from "./orders.js";
import { heldModel, type Registry } from "./registries.js";

/** Pause before an order without an answer is sent again, in milliseconds. */
const resendMs = 300;
/** A report tells of some hundred milliseconds before; after a conflict it is read this much later. */
const reportLagMs = 400;
/** Tries before the engine is read anew, or left alone for now. */
const maxTries = 8;
/** Adapters are looked after at these times, in milliseconds; one that is fetched anew takes tens to hundreds. */
const adapterChecksMs = [15, 30, 60, 100, 150, 200, 300, 400, 600];
/** How often is looked whether an engine is done with a model, before its adapters are looked after. */
const busyCheckMs = 50;
/** Models are looked after this long after the time that they should take; each further look takes longer, up to a bound. */
const firstModelCheckMs = 25;
const lastModelCheckMs = 200;
const modelCheckGrowth = 1.5;
/** A load that takes this many times as long as it should has failed, or the store is overloaded. */
const modelPatience = 5;
/** Adapters whose unload waits for their runs are looked after this long after it; each further look takes longer, up to a bound. */
const firstDepartureCheckMs = 60;
const lastDepartureCheckMs = 500;
const departureCheckGrowth = 1.5;
/** Adapters that may be under way to one engine at the same time. */
const maxTransits = 4;

/** What a line asks of the one who owns it. */
export interface OrderLineOwner {
    /** Undefined once orders may not be given any more. */
    fence(): Fence | undefined;
    /** An order is sent. */
    gave(): void;
    /** The engine refuses connections. */
    unreachable(upstream: string): void;
    /** Another leader gives orders. */
    fenced(upstream: string): void;
    /** What an engine holds has changed, or it takes orders again. */
    settled(): void;
}

export class OrderLine {
    /** Models, with those that are being loaded; undefined until the engine was read. */
    private readonly loading = new Set<string>();
    private readonly transits = new Set<string>();
    /** Adapters whose unload waits for the requests that run on them. */
    private readonly departures = new Set<string>();
    /** Adapters that were seen to arrive by an order of this line, and were not given up since. */
    private readonly loaded = new Set<string>();
    /** Number of orders that the engine has accepted, or fewer; undefined until it was read. */
    private expected: number | undefined;
    private occupied = false;
    private seen = false;
    /** Steady time of the last answer to an order. */
    private lastOrderAt = Number.NEGATIVE_INFINITY;
    private ended = false;

    public constructor(
        private readonly id: string,
        private readonly registry: Registry,
        private readonly calls: EngineCalls,
        private readonly owner: OrderLineOwner,
        private readonly log: EventLog,
    ) {}

    /** Whether the next order can be given. */
    public get free(): boolean {
        return !this.occupied && !this.ended && this.expected !== undefined;
    }

    /** Whether the engine was seen to carry out no order, since this line began. */
    public get seenIdle(): boolean {
        return this.seen;
    }

    public get loadingModels(): readonly string[] {
        return [...this.loading];
    }

    /** Adapters under way, "model/adapter". */
    public get adaptersUnderWay(): ReadonlySet<string> {
        return this.transits;
    }

    /** Adapters on their way out, "model/adapter": they take their places until their last request has ended. */
    public get adaptersLeaving(): ReadonlySet<string> {
        return this.departures;
    }

    public get freeTransits(): number {
        return this.free ? maxTransits - this.transits.size : 0;
    }

    /** Gives no more orders. */
    public end(): void {
        this.ended = true;
    }

    /** Reads what the engine holds and how many orders it has accepted. */
    public async sync(): Promise<void> {
        const upstream = this.upstream;
        if (upstream === undefined || this.occupied) {
            return;
        }
        this.occupied = true;
        try {
            await this.read(upstream);
        }
        finally {
            this.occupied = false;
            this.owner.settled();
        }
    }

    /** Carries an order out; returns once the engine can take another. */
    public async give(order: EngineOrder, expectedMs: number): Promise<void> {
        this.occupied = true;
        if (order.kind === "load" && order.adapter === "") {
            // Counted before it is accepted, so that it is not ordered elsewhere meanwhile.
            this.loading.add(order.model);
        }
        try {
            await this.carryOut(order, expectedMs);
        }
        finally {
            this.loading.delete(order.model);
            this.occupied = false;
            this.owner.settled();
        }
    }

    private get upstream(): Upstream | undefined {
        return this.ended ? undefined : this.registry.get(this.id)?.upstream;
    }

    private async carryOut(order: EngineOrder, expectedMs: number): Promise<void> {
        if (order.kind === "unload" && order.adapter === "") {
            this.markLeaving(order.model);
        }
        for (let tries = 0; tries < maxTries; tries++) {
            switch (await this.send(order)) {
                case OrderReply.accepted:
                    this.count(order);
                    await this.follow(order, expectedMs);
                    return;
                case OrderReply.holds:
                    if (isAdapterUnload(order)) {
                        // An adapter that nothing runs on goes at once, and that counts as an order.
                        this.count(order);
                    }
                    this.tookEffect(order);
                    return;
                case OrderReply.fenced:
                case OrderReply.refused:
                case OrderReply.unreachable:
                    this.expected = undefined;
                    return;
                case OrderReply.conflict:
                    // It was judged by what the engine held before, which has accepted other orders since: they may
                    // have taken the room of a load, or what is to be unloaded. It is planned anew.
                    this.log.info("order.outdated", { upstream: this.id, order: describeOrder(order) });
                    await this.reread();
                    return;
                case OrderReply.unknown:
                    // Sent again under the same number: whichever copy is taken first makes the other fail.
                    await sleep(resendMs);
                    break;
            }
        }
        this.expected = undefined;
    }

    /**
     * The engine counts an order that it has accepted. An unload of what goes already, or has gone, isn't counted, and
     * is answered alike: only of an adapter that this line has loaded is known that it was neither. A number that is
     * behind is refused; one that is ahead would be right later, for a state that nobody has judged.
     */
    private count(order: EngineOrder): void {
        const isKnownToCount = !isAdapterUnload(order) || this.loaded.delete(adapterName(order));
        // An adapter that failed to show may have taken the number back while this order was on its way.
        this.expected = isKnownToCount && this.expected !== undefined ? this.expected + 1 : undefined;
    }

    /** Waits while the engine wants nothing from this host, which may send it callers' requests too. */
    private async untilRested(): Promise<void> {
        for (let upstream = this.upstream; upstream !== undefined; upstream = this.upstream) {
            const ms = this.calls.restMs(upstream);
            if (ms <= 0) {
                return;
            }
            await sleep(ms);
        }
    }

    private async send(order: EngineOrder): Promise<OrderReply> {
        await this.untilRested();
        const { upstream } = this;
        const fence = this.owner.fence();
        if (upstream === undefined || fence === undefined || this.expected === undefined) {
            return OrderReply.refused;
        }
        const sentAt = steadyNow();
        this.owner.gave();
        const reply = await this.calls.order(upstream, order, this.expected, fence);
        this.lastOrderAt = steadyNow();
        this.log.info("order.sent", {
            upstream: this.id,
            order: describeOrder(order),
            expected: this.expected,
            token: fence.token,
            held: heldAdapters(upstream).length,
            underWay: this.transits.size,
            leaving: this.departures.size,
            reply,
            tookMs: Math.round(steadyNow() - sentAt),
        });
        if (reply === OrderReply.fenced) {
            this.owner.fenced(this.id);
        }
        if (reply === OrderReply.unreachable) {
            this.owner.unreachable(this.id);
        }
        return reply;
    }

    private async follow(order: EngineOrder, expectedMs: number): Promise<void> {
        if (order.adapter === "") {
            await this.followModel(order, expectedMs);
        }
        else if (order.kind === "load") {
            // The engine takes other orders meanwhile.
            void this.followAdapter(order);
        }
        else {
            // The engine takes other orders meanwhile, and has a place less than it seems to have.
            void this.followDeparture(order);
        }
    }

    private async followModel(order: EngineOrder, expectedMs: number): Promise<void> {
        const deadline = steadyNow() + expectedMs * modelPatience + modelPatience * 1000;
        if (order.kind === "load") {
            // Entries learn when to expect it, and hold or send back requests accordingly.
            this.change(models => models.push(heldModel(order.model, expectedMs + firstModelCheckMs)));
        }
        await sleep(expectedMs);
        let checkMs = firstModelCheckMs;
        while (steadyNow() < deadline && this.upstream !== undefined) {
            await sleep(checkMs);
            checkMs = Math.min(lastModelCheckMs, checkMs * modelCheckGrowth);
            const reply = await this.send(order);
            if (reply === OrderReply.holds) {
                this.tookEffect(order);
                return;
            }
            // Accepted once more: it is still under way, and was counted before.
            if (isFinal(reply)) {
                break;
            }
        }
        this.change(models => remove(models, order.model, held => held.readyInMs > 0));
        this.expected = undefined;
    }

    private async followAdapter(order: EngineOrder): Promise<void> {
        const name = adapterName(order);
        this.transits.add(name);
        this.owner.settled();
        if (await this.arrives(order)) {
            this.loaded.add(name);
            this.tookEffect(order);
        }
        else {
            // It was accepted, so it may take a place all the same: the engine is read before the next order.
            this.expected = undefined;
        }
        this.transits.delete(name);
        this.owner.settled();
    }

    /** Whether an adapter that was accepted is seen to have arrived. */
    private async arrives(order: EngineOrder): Promise<boolean> {
        for (const pauseMs of adapterChecksMs) {
            await sleep(pauseMs);
            while (this.occupied && this.upstream !== undefined) {
                // While a model comes or goes, the engine answers nothing about adapters.
                await sleep(busyCheckMs);
            }
            const reply = await this.send(order);
            if (reply === OrderReply.holds) {
                return true;
            }
            if (isFinal(reply)) {
                return false;
            }
        }
        return false;
    }

    /** The place of an adapter that is only accepted to be unloaded is free once the engine has nothing to unload any more. */
    private async followDeparture(order: EngineOrder): Promise<void> {
        const name = adapterName(order);
        this.log.info("adapter.leaving", { upstream: this.id, adapter: name });
        this.departures.add(name);
        this.change(models => applyOrder(models, order));
        this.owner.settled();
        await this.untilDeparted(order);
        this.departures.delete(name);
        this.log.info("adapter.left", { upstream: this.id, adapter: name });
        this.owner.settled();
    }

    /** Returns once the adapter is gone, alone or with its model, or this line has ended. */
    private async untilDeparted(order: EngineOrder): Promise<void> {
        let checkMs = firstDepartureCheckMs;
        while (this.upstream !== undefined) {
            await sleep(checkMs);
            checkMs = Math.min(lastDepartureCheckMs, checkMs * departureCheckGrowth);
            if (!this.holdsModel(order.model)) {
                return;
            }
            if (this.free && await this.isUnloaded(order)) {
                return;
            }
        }
    }

    private async isUnloaded(order: EngineOrder): Promise<boolean> {
        const reply = await this.send(order);
        if (reply === OrderReply.conflict && !this.occupied) {
            // Others have given it orders: it is read before the next one.
            this.expected = undefined;
        }
        return reply === OrderReply.holds;
    }

    private holdsModel(model: string): boolean {
        return this.upstream?.models.some(({ name }) => name === model) === true;
    }

    private markLeaving(model: string): void {
        this.change(models => models.filter(held => held.name === model).forEach(held => held.leaving = true));
    }

    private tookEffect(order: EngineOrder): void {
        this.log.info("order.done", { upstream: this.id, order: describeOrder(order) });
        this.change(models => applyOrder(models, order));
        this.owner.settled();
    }

    private change(edit: (models: HeldModel[]) => void): void {
        const { upstream } = this;
        if (upstream !== undefined) {
            const models = upstream.models.map(model => clone(HeldModelSchema, model));
            edit(models);
            this.registry.setModels(this.id, models);
        }
    }

    private async reread(): Promise<void> {
        const { upstream } = this;
        this.expected = undefined;
        if (upstream !== undefined) {
            await this.read(upstream);
        }
    }

    /** Takes in what the engine holds, unless a model comes or goes there. */
    private async read(upstream: Upstream): Promise<void> {
        // A report from before the last order took effect would tell of room that is taken.
        await sleep(Math.max(0, this.lastOrderAt + reportLagMs - steadyNow()));
        await this.untilRested();
        const report = await this.calls.report(upstream);
        if (report === undefined) {
            return;
        }
        if (report.busy) {
            // What is on its way there is not told, so there may be less room than it seems.
            this.log.info("engine.busy", { upstream: this.id, orders: report.orders });
            return;
        }
        this.seen = true;
        this.expected = report.orders;
        this.loaded.clear();
        this.registry.setModels(this.id, report.models.map(model => this.withoutDepartures(model)));
        this.log.info("engine.read", {
            upstream: this.id,
            orders: report.orders,
            models: report.models.map(model => model.name),
            adapters: heldAdapters(report),
        });
    }

    /** A report lists an adapter until its last request has ended; it takes no others. */
    private withoutDepartures(model: HeldModel): HeldModel {
        const copy = clone(HeldModelSchema, model);
        copy.adapters = copy.adapters.filter(adapter => !this.departures.has(`${model.name}/${adapter}`));
        return copy;
    }
}

/** Whether asking again is of no use. */
function isFinal(reply: OrderReply): boolean {
    return reply === OrderReply.fenced || reply === OrderReply.refused || reply === OrderReply.unreachable;
}
