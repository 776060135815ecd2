/** The leader of a simulated fleet, built from the production registry, feed, demand book, health watch and placement. */
import { RateLimitCoordinator } from "@winchpath/availability";
import { silentLog } from "@winchpath/core";
import { type Configuration, ModelSizeHistory } from "@winchpath/declarations";
import {
    decodeRate,
    decodeSlotReports,
    type DemandRequest,
    DemandTracker,
    encodeSlotGrants,
    type EngineClient,
    Feed,
    type FeedControl,
    type Fence,
    FleetService,
    OutlierMonitor,
    type PlacementContext,
    PlacementController,
    type PollRequest,
    Registry,
    SoftwareVersionState,
    type Upstream,
} from "@winchpath/fleet";
import { QuarantineState } from "@winchpath/quarantine";
import { type RetryBound, SlotCoordinator } from "@winchpath/retries";
import { type PeerClients } from "@winchpath/rpc";
import { type SimulatedEngine } from "./engines.js";

export const leaderUrl = "http://leader";
/** Interval between announcements of an engine, in milliseconds. */
export const announceMs = 1200;
/** Interval at which the leader expires outdated state, in milliseconds. */
const reviewIntervalMs = 1000;
/** Retries are limited to a ratio of a service's requests, plus a fixed number per window. */
export const retryBound: RetryBound = { ratio: 0.2, slack: 60, windowMs: 10_000 };
/** One-way delay between two processes, in milliseconds. */
const networkDelayMs = 1;

/** Mechanisms of the leader that an experiment can disable. */
export interface LeaderFeatures {
    readonly health: boolean;
}

export class SimulatedLeader implements FeedControl, PlacementContext {
    public readonly epoch = "1/leader";
    public readonly term = 1;
    public readonly quorumAgeMs = 0;
    public readonly leadershipAgeMs = 60_000;
    public readonly hasLeaderContact = true;
    public readonly leaderUrl = leaderUrl;
    public readonly controlUrls = [leaderUrl];
    public readonly announceMs = announceMs;
    public readonly registry = new Registry(silentLog);
    public readonly documents: FeedControl["documents"] & PlacementContext["documents"];
    public readonly quarantine = new QuarantineState();
    public readonly softwareVersions = new SoftwareVersionState();
    private readonly feed: Feed;
    private readonly demand = new DemandTracker(silentLog);
    private readonly healthWatch = new OutlierMonitor(this.registry);
    private readonly rates = new RateLimitCoordinator(
        silentLog,
        (id, limited) => this.registry.setRateLimited(id, limited),
    );
    private readonly retries = new SlotCoordinator({
        term: this.term,
        isFirst: true,
        electedAt: 0,
        maxOverlapMs: 0,
        bound: () => retryBound,
        log: silentLog,
    });
    private readonly placement: PlacementController;
    private readonly stopController = new AbortController();

    public constructor(
        public readonly configuration: Configuration,
        private readonly engines: ReadonlyMap<string, SimulatedEngine>,
        private readonly features: LeaderFeatures,
    ) {
        const current = { version: configuration.version, text: JSON.stringify(configuration) };
        this.documents = { current, ageMs: 0, modelSizes: new ModelSizeHistory() };
        this.feed = new Feed(this.registry, this, silentLog);
        this.placement = new PlacementController(this, this.registry, this.demand, this.engineCalls(), silentLog);
    }

    public start(): void {
        void this.placement.run(this.stopController.signal);
        void this.followRegistry();
        setInterval(() => this.expireStale(), reviewIntervalMs);
    }

    public stop(): void {
        this.stopController.abort();
    }

    public fence(): Fence {
        return { holder: "leader", token: 1 };
    }

    public orderSent(): void {
        // There is no other leader that has to know of the order.
    }

    public awaitedModels(entry: string): ReadonlySet<string> {
        return this.demand.awaitedModels(entry);
    }

    public async barrier(): Promise<void> {
        // With a single leader, every accepted change is already visible.
    }

    /** Returns in-process clients for the calls that entries make. */
    public clients(): PeerClients {
        const client = {
            poll: async (req: PollRequest) => {
                await networkDelay();
                return this.feed.poll(req);
            },
            reportDemand: async (report: DemandRequest) => {
                await networkDelay();
                this.handleDemandReport(report);
                return {
                    allowances: [],
                    permits: this.rates.processReports(report.entry, report.rates.map(decodeRate)),
                    retrySlots: encodeSlotGrants(this.retries.processReports(decodeSlotReports(report))),
                };
            },
        };
        // Entries call only these two methods of the fleet service.
        const openClient = (service: unknown) => {
            if (service !== FleetService) {
                throw new Error("simulated entries may call the fleet service only");
            }
            return client;
        };
        return { client: openClient as unknown as PeerClients["client"], disconnect: () => undefined };
    }

    /** Registers an engine's announcement. */
    public announce(engine: SimulatedEngine, service: string): void {
        this.registry.announce(engine.announcement(service));
        this.feed.wakePolls();
    }

    private handleDemandReport(report: DemandRequest): void {
        this.demand.take(report);
        this.feed.recordLevels(report);
        report.mismatches.forEach(mismatch => this.placement.resyncAfterMismatch(mismatch));
        report.unreachable.forEach(id => this.registry.reportUnreachable(id, report.entry));
        if (this.features.health) {
            this.healthWatch.record(report);
        }
        this.placement.notify();
    }

    private expireStale(): void {
        this.registry.removeExpired();
        if (this.features.health) {
            this.healthWatch.evaluate();
        }
        this.feed.wakePolls();
    }

    private async followRegistry(): Promise<void> {
        while (!this.stopController.signal.aborted) {
            await this.registry.changed.wait(reviewIntervalMs);
            this.feed.wakePolls();
            this.placement.notify();
        }
    }

    private engineCalls(): EngineClient {
        const engineOf = (upstream: Upstream) => this.engines.get(upstream.id)!;
        return {
            sendOrder: async (upstream, order, expected) => {
                await networkDelay();
                return engineOf(upstream).handleOrder(order, expected);
            },
            fetchReport: async upstream => {
                await networkDelay();
                return engineOf(upstream).report();
            },
            backoffMs: () => 0,
        };
    }
}

function networkDelay(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, networkDelayMs));
}
