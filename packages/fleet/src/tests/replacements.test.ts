/** Guards against a model that stays unserved because its only holder refuses connections. */
import { create } from "@bufbuild/protobuf";
import { silentLog, steadyNow } from "@winchpath/core";
import { type Configuration, ModelSizeHistory } from "@winchpath/declarations";
import { expect } from "earl";
import { describe, it, mock, type TestContext } from "node:test";
import {
    DemandRequestSchema,
    DemandTracker,
    type EngineClient,
    HeldModelSchema,
    OrderReply,
    OutlierMonitor,
    PlacementController,
    type Registry,
} from "../index.js";
import { createAnnouncement, createRegistry, spec } from "./fixtures.js";
import { advanceTime } from "./mocktimes.js";

/** A single model, since the leader loads the others into free memory. */
const engine = { ...spec, models: spec.models.slice(0, 1) };
const announceMs = 1200;
const reportMs = 400;

/** A leader with the engine "a", which holds m1, and the empty engine "b". */
class TestLeader {
    public readonly registry: Registry;
    public readonly orders: { readonly upstream: string; readonly model: string; readonly at: number; }[] = [];
    private readonly demand = new DemandTracker(silentLog);
    private readonly monitor: OutlierMonitor;
    private readonly placement: PlacementController;

    public constructor(t: TestContext) {
        mock.timers.enable({ apis: ["Date", "setTimeout"], now: 1_000_000 });
        this.registry = createRegistry(createAnnouncement("a", 1), createAnnouncement("b", 1));
        this.monitor = new OutlierMonitor(this.registry);
        const control = {
            announceMs,
            fence: () => ({ holder: "h", token: 7 }),
            orderSent: () => undefined,
            configuration: { services: [{ name: "s", engine }] } as unknown as Configuration,
            documents: { modelSizes: new ModelSizeHistory() },
        };
        this.placement = new PlacementController(control, this.registry, this.demand, this.engineClient(), silentLog);
        const stopped = new AbortController();
        t.after(async () => {
            stopped.abort();
            await advanceTime(reportMs);
            mock.timers.reset();
        });
        void this.placement.run(stopped.signal);
    }

    /** Lets one entry report a waiting request for m1 and, if given, an upstream that refused a connection. */
    public report(refused: readonly string[] = []): void {
        const items = [{ service: "s", model: "m1", adapter: "", arrived: 1, work: 10n, waiting: refused.length }];
        const report = create(DemandRequestSchema, { entry: "e", intervalMs: reportMs, items, refused: [...refused] });
        this.demand.take(report);
        this.monitor.record(report);
        this.placement.notify();
    }

    /** Runs for a while, during which only the given engines announce themselves. */
    public async run(ms: number, ...announcing: readonly string[]): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += reportMs) {
            announcing.forEach(id => this.registry.reaffirm(id, BigInt(Date.now())));
            this.report();
            await advanceTime(reportMs);
        }
    }

    private engineClient(): EngineClient {
        return {
            sendOrder: async (upstream, order) => {
                this.orders.push({ upstream: upstream.id, model: order.model, at: steadyNow() });
                return OrderReply.accepted;
            },
            fetchReport: async ({ id }) => ({
                orders: 0,
                busy: false,
                models: id === "a" ? [create(HeldModelSchema, { name: "m1" })] : [],
            }),
            backoffMs: () => 0,
        };
    }
}

describe("a leader", () => {
    it("replaces the only holder of a model at once after it refused a connection of one entry", async t => {
        const leader = new TestLeader(t);
        await leader.run(2400, "a", "b");
        expect(leader.orders.filter(({ upstream }) => upstream === "b")).toEqual([]);
        const refusedAt = steadyNow();
        leader.report(["a"]);
        await leader.run(400, "b");
        const [order] = leader.orders.filter(({ upstream }) => upstream === "b");
        expect(order?.model).toEqual("m1");
        expect(order.at - refusedAt).toBeLessThanOrEqual(100);
    });

    it("ignores a report about an unknown upstream, and trusts one that announces itself again", t => {
        const leader = new TestLeader(t);
        leader.report(["unknown", "a"]);
        expect(leader.registry.isSuspect("a", announceMs, 2)).toEqual(true);
        leader.registry.reaffirm("a", 2n);
        expect(leader.registry.isSuspect("a", announceMs, 2)).toEqual(false);
    });
});
