/**
 * Guards the leader's cost in a large fleet: 82 engines, 213 models and 68 entries.
 * Limits are numbers of answers and evaluations rather than times, to be independent of the machine.
 */
import { create } from "@bufbuild/protobuf";
import { silentLog } from "@winchpath/core";
import { type EngineSpec } from "@winchpath/declarations";
import { QuarantineState } from "@winchpath/quarantine";
import { expect } from "earl";
import { describe, it, type TestContext } from "node:test";
import { type HeldModel, HeldModelSchema, PollRequestSchema } from "../gen/winchpath/fleet/v1/fleet_pb.js";
import {
    decodeUpstream,
    type EngineSnapshot,
    Feed,
    type FeedControl,
    type ItemNeed,
    planOrders,
    Registry,
    SoftwareVersionState,
    UpstreamState,
} from "../index.js";
import { createAnnouncement, createEngine, createNeed, spec } from "./fixtures.js";

const entryCount = 68;
const engineCount = 82;
const modelCount = 213;
/** Models that fit into one engine's memory. */
const modelsPerEngine = 3;

class LargeControl implements FeedControl {
    public readonly term = 1;
    public readonly epoch = "1/a";
    public readonly quorumAgeMs = 0;
    public readonly leadershipAgeMs = 60_000;
    public readonly hasLeaderContact = true;
    public readonly leaderUrl = "";
    public readonly controlUrls = [];
    public readonly documents = { current: undefined, ageMs: 0 };
    public readonly quarantine = new QuarantineState();
    public readonly softwareVersions = new SoftwareVersionState();
    public readonly awaited = new Map<string, ReadonlySet<string>>();

    public awaitedModels(entry: string): ReadonlySet<string> {
        return this.awaited.get(entry) ?? new Set();
    }

    public async barrier(): Promise<void> {}
}

/** Entries that poll the feed continuously, with the number of answers that each received. */
class PollingEntries {
    public readonly answers = new Map<string, number>();
    /** When each entry learnt that an upstream is draining. */
    public readonly drained = new Map<string, number>();

    public constructor(private readonly feed: Feed) {}

    public start(): void {
        for (let index = 0; index < entryCount; index++) {
            void this.follow(`entry-${index}`);
        }
    }

    public get total(): number {
        return [...this.answers.values()].reduce((sum, count) => sum + count, 0);
    }

    private async follow(entry: string): Promise<void> {
        let epoch = "";
        let position = 0n;
        for (;;) {
            const res = await this.feed.poll(
                create(PollRequestSchema, { entry, epoch, position, documentVersion: 0n, waitMs: 1000 }),
            );
            ({ epoch, position } = res);
            this.answers.set(entry, (this.answers.get(entry) ?? 0) + 1);
            if (res.changed.some(bytes => decodeUpstream(bytes).state === UpstreamState.DRAINING)) {
                this.drained.set(entry, Date.now());
            }
        }
    }
}

const startAt = 1_000_000;

function setUpFeed(t: TestContext) {
    t.mock.timers.enable({ apis: ["Date", "setTimeout"], now: startAt });
    const control = new LargeControl();
    const registry = new Registry(silentLog);
    const feed = new Feed(registry, control, silentLog);
    const entries = new PollingEntries(feed);
    for (let index = 0; index < engineCount; index++) {
        registry.announce(createAnnouncement(`u${index}`, 1, { address: `10.0.0.${index}:80` }));
    }
    entries.start();
    return { control, registry, feed, entries };
}

/** Advances mocked time by `ms` in steps of a millisecond, and runs pending tasks after each step. */
async function advanceTime(t: TestContext, ms: number, each: (ms: number) => void = () => undefined): Promise<void> {
    for (let at = 0; at < ms; at++) {
        each(at);
        t.mock.timers.tick(1);
        await new Promise(resolve => setImmediate(resolve));
    }
}

function holding(...names: string[]): HeldModel[] {
    return names.map(name => create(HeldModelSchema, { name }));
}

describe("the feed of a large fleet", () => {
    /** Interval of changes to the models of some engine. */
    const changeEveryMs = 14;
    const seconds = 2;

    function modelChanges(registry: Registry, feed: Feed) {
        return (at: number) => {
            if (at % changeEveryMs === 0) {
                registry.setModels(`u${at / changeEveryMs % engineCount}`, holding(`m${at}`));
                feed.wakePolls();
            }
        };
    }

    it("limits its answers a second, however often something changes", async t => {
        const { registry, feed, entries } = setUpFeed(t);
        await advanceTime(t, 50);
        const before = entries.total;
        await advanceTime(t, seconds * 1000, modelChanges(registry, feed));
        const perSecond = (entries.total - before) / seconds;
        // The limit is near 375 answers a second; sending each change to each entry would take 4,900.
        expect(perSecond).toBeLessThan(400);
        expect(perSecond).toBeGreaterThan(300);
    });

    it("announces a draining upstream immediately", async t => {
        const { registry, feed, entries } = setUpFeed(t);
        await advanceTime(t, 500, modelChanges(registry, feed));
        const drainedAt = Date.now();
        registry.announce(createAnnouncement("u1", 2, { address: "10.0.0.1:80", state: UpstreamState.DRAINING }));
        feed.wakePolls();
        await advanceTime(t, 20);
        expect(entries.drained.size).toEqual(entryCount);
        expect(Math.max(...entries.drained.values()) - drainedAt).toBeLessThan(10);
    });

    it("sends an entry immediately what its requests wait for", async t => {
        const { control, registry, feed, entries } = setUpFeed(t);
        await advanceTime(t, 500, modelChanges(registry, feed));
        control.awaited.set("entry-7", new Set(["s/wanted"]));
        await advanceTime(t, 300, modelChanges(registry, feed));
        const before = entries.answers.get("entry-7")!;
        registry.setModels("u3", holding("wanted"));
        feed.wakePolls();
        await advanceTime(t, 10);
        expect(entries.answers.get("entry-7")! - before).toEqual(1);
    });
});

describe("a plan for a large fleet", () => {
    const largeSpec: EngineSpec = {
        ...spec,
        memoryMb: 350,
        models: Array.from({ length: modelCount }, (_, index) => ({ ...spec.models[0], name: `m${index}` })),
    };
    const engines: EngineSnapshot[] = Array.from({ length: engineCount }, (_, index) =>
        createEngine(
            `e${index}`,
            Array.from(
                { length: modelsPerEngine },
                (__, place) => `m${(index * modelsPerEngine + place) % modelCount}`,
            ),
        ));

    function planFor(needs: readonly ItemNeed[], storeLoadBudget = 1, fleet = engines) {
        let evaluations = 0;
        const plan = planOrders({
            service: "s",
            spec: largeSpec,
            engines: fleet,
            needs,
            storeLoadBudget,
            throughputOf: () => {
                evaluations += 1;
                return 10_000;
            },
        });
        return { plan, evaluations };
    }

    it("evaluates engines only for models that could benefit from another replica", () => {
        // Each model is in demand, and its replicas have enough capacity.
        const needs = largeSpec.models.map(({ name }) => createNeed(name, { rate: 2, work: 3000 }));
        const { plan, evaluations } = planFor(needs);
        expect(plan.orders).toEqual([]);
        // A few evaluations for each model; evaluating each engine for each model would take 200,000.
        expect(evaluations).toBeLessThan(2000);
    });

    it("starts as many loads as the store allows, models with unserved requests first", () => {
        // Eight engines have freed memory for models with little demand; eight models with high demand have no replica.
        const unserved = Array.from({ length: 8 }, (_, index) => `m${100 + index}`);
        const fleet = engines.map((one, index) => {
            const names = [...one.models.keys()].filter(name => !unserved.includes(name));
            return index < 8
                ? createEngine(one.id, names.slice(0, 2), { pendingModel: `m${200 + index}` })
                : createEngine(one.id, names);
        });
        const needs = largeSpec.models.map(({ name }) =>
            unserved.includes(name)
                ? createNeed(name, { rate: 12, work: 9000, unserved: 40 })
                : createNeed(name, { rate: 0.1, work: 100 })
        );
        const { plan } = planFor(needs, 16, fleet);
        const loaded = plan.orders.filter(({ order }) => order.kind === "load").map(({ order }) => order.model);
        const freedMemoryFor = plan.orders.flatMap(({ freesMemoryFor }) => freesMemoryFor ?? []);
        expect([...loaded, ...freedMemoryFor].filter(name => unserved.includes(name)).sort()).toEqual(unserved);
    });

    it("finds the one model that is short of replicas", () => {
        const needs = largeSpec.models.map(({ name }) => createNeed(name, { rate: 2, work: 3000 }));
        needs[5] = createNeed("m5", { rate: 40, work: 20_000 });
        const { plan } = planFor(needs);
        expect(plan.orders.map(({ freesMemoryFor, order }) => freesMemoryFor ?? order.model)).toEqual(["m5"]);
    });
});
