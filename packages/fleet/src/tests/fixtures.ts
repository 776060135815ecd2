/** Shared fixtures of this package's tests: engines, upstreams and demand. */
import { create } from "@bufbuild/protobuf";
import { silentLog, sleep, steadyNow } from "@winchpath/core";
import { type EngineSpec } from "@winchpath/declarations";
import {
    type Announcement,
    AnnouncementSchema,
    type EngineClient,
    type EngineOrder,
    type EngineReport,
    type EngineSnapshot,
    type Fence,
    HeldModelSchema,
    type ItemNeed,
    type ModelSnapshot,
    OrderReply,
    Registry,
    type Upstream,
    UpstreamState,
} from "../index.js";

export const spec: EngineSpec = {
    slots: 8,
    cacheTokens: 10_000,
    memoryMb: 300,
    adapterPlaces: 2,
    storeLoadsPerSecond: 1,
    models: ["m1", "m2", "m3", "m4"].map(name => ({
        name,
        sizeMb: 100,
        loadMs: 9000,
        memoryLoadMs: 500,
        diskLoadMs: 2000,
        adapters: 4,
        adapterMb: 1,
    })),
};

export function createAnnouncement(id: string, sequence: number, values: Partial<Upstream> = {}): Announcement {
    const upstream = {
        id,
        name: id,
        service: "s",
        address: `10.0.0.1:${id.length}${id.charCodeAt(0)}`,
        dataCentre: "d",
        slots: 8,
        state: UpstreamState.READY,
        ...values as object,
    };
    return create(AnnouncementSchema, { upstream, sequence: BigInt(sequence) });
}

export function createRegistry(...announcements: Announcement[]): Registry {
    const registry = new Registry(silentLog);
    announcements.forEach(one => registry.announce(one));
    return registry;
}

export function createNeed(model: string, values: Partial<ItemNeed> = {}, adapter = ""): ItemNeed {
    return {
        key: { service: "s", model, adapter },
        rate: 1,
        work: 1000,
        running: 0,
        unserved: 0,
        idleMs: 0,
        unservedMs: 0,
        unservedRequests: 0,
        longestPauseMs: 0,
        unservedAtHoldersMs: 0,
        recoveredMs: Number.POSITIVE_INFINITY,
        ...values,
    };
}

export function createEngine(
    id: string,
    models: readonly string[],
    values: Partial<EngineSnapshot> = {},
): EngineSnapshot {
    const held: ModelSnapshot = { isReady: true, isUnloading: false, sizeMb: 100, adapterMb: 1, adapters: new Map() };
    return {
        id,
        service: "s",
        dataCentre: "d",
        models: new Map(models.map(model => [model, held])),
        pendingModel: undefined,
        acceptsModelOrders: true,
        freeAdapterLoads: 4,
        inMemory: new Set(),
        onDisk: new Set(),
        ...values,
    };
}

/** Computes an engine's reply to one order. */
export type OrderHandler = (order: EngineOrder, expected: number) => OrderReply;

/** An engine that executes orders, and crashes if they exceed its memory. */
export class ScriptedEngine implements EngineClient {
    public readonly models = new Map<string, Set<string>>();
    public readonly orders: { readonly order: EngineOrder; readonly expected: number; readonly fence: Fence; }[] = [];
    public accepted = 0;
    public busy = false;
    public crashed = false;
    /** Monotonic time until which it accepts no orders. */
    public backoffUntil = 0;
    public answerAfterMs = 0;
    /** Each one replies to one order in place of the engine. */
    public readonly handlers: OrderHandler[] = [];

    public async sendOrder(
        _upstream: Upstream,
        order: EngineOrder,
        expected: number,
        fence: Fence,
    ): Promise<OrderReply> {
        this.orders.push({ order, expected, fence });
        await sleep(this.answerAfterMs);
        return this.handlers.shift()?.(order, expected) ?? this.execute(order, expected);
    }

    public backoffMs(): number {
        return Math.max(0, this.backoffUntil - steadyNow());
    }

    public async fetchReport(): Promise<EngineReport | undefined> {
        const models = [...this.models].map(([name, adapters]) =>
            create(HeldModelSchema, { name, adapters: [...adapters] })
        );
        return { orders: this.accepted, busy: this.busy, models };
    }

    /** Executes an order immediately. */
    public execute(order: EngineOrder, expected: number): OrderReply {
        if (this.busy || expected !== this.accepted) {
            return OrderReply.conflict;
        }
        const adapters = this.models.get(order.model);
        if (order.adapter === "") {
            if (order.kind === "load" ? adapters !== undefined : adapters === undefined) {
                return OrderReply.done;
            }
            this.accepted += 1;
            if (order.kind === "load") {
                this.models.set(order.model, new Set());
            }
            else {
                this.models.delete(order.model);
            }
        }
        else {
            if (adapters === undefined) {
                return OrderReply.refused;
            }
            if (order.kind === "load" && adapters.has(order.adapter)) {
                return OrderReply.done;
            }
            this.accepted += 1;
            if (order.kind === "unload") {
                adapters.delete(order.adapter);
                return OrderReply.done;
            }
            adapters.add(order.adapter);
        }
        this.checkMemory();
        return OrderReply.accepted;
    }

    private checkMemory(): void {
        const adapters = [...this.models.values()].reduce((sum, held) => sum + held.size, 0);
        const usedMb = this.models.size * 100 + adapters;
        this.crashed ||= usedMb > spec.memoryMb || adapters > spec.adapterPlaces;
    }
}
