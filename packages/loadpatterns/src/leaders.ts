/** The leader of a simulated fleet: the product's registry, feed, demand, health and placement. */
import { RateLimitCoordinator } from "@winchpath/availability";
import { silentLog } from "@winchpath/core";
import { type Configuration, type ConfigurationDocument } from "@winchpath/declarations";
import {
    decodeRate,
    type DemandRequest,
    DemandTracker,
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
    type Upstream,
} from "@winchpath/fleet";
import { QuarantineState } from "@winchpath/quarantine";
import { type PeerClients } from "@winchpath/rpc";
import { type SimulatedEngine } from "./engines.js";

/** Where the leader is reached. */
export const leaderUrl = "http://leader";
/** How often engines announce themselves, in milliseconds, as the users give it. */
export const announceMs = 1200;
/** How often the leader looks at what has become old, in milliseconds. */
const reviewMs = 1000;
/** A message between two processes takes this long, in milliseconds: the users' data centres are 0.5 ms apart. */
const tripMs = 1;

/** Mechanisms of the leader that a trial can leave out. */
export interface LeaderParts {
    readonly health: boolean;
}

export class SimulatedLeader implements FeedControl, PlacementContext {
    public readonly epoch = "1/leader";
    public readonly quorumAgeMs = 0;
    public readonly leadershipAgeMs = 60_000;
    public readonly leaderUrl = leaderUrl;
    public readonly controlUrls = [leaderUrl];
    public readonly announceMs = announceMs;
    public readonly registry = new Registry(silentLog);
    public readonly document: ConfigurationDocument;
    public readonly quarantine = new QuarantineState();
    private readonly feed: Feed;
    private readonly demand = new DemandTracker(silentLog);
    private readonly healths = new OutlierMonitor(this.registry);
    private readonly rates = new RateLimitCoordinator(
        silentLog,
        (id, limited) => this.registry.setRateLimited(id, limited),
    );
    private readonly placement: PlacementController;
    private readonly ended = new AbortController();

    public constructor(
        public readonly configuration: Configuration,
        private readonly engines: ReadonlyMap<string, SimulatedEngine>,
        private readonly parts: LeaderParts,
    ) {
        this.document = { version: configuration.version, text: JSON.stringify(configuration) };
        this.feed = new Feed(this.registry, this, silentLog);
        this.placement = new PlacementController(this, this.registry, this.demand, this.calls(), silentLog);
    }

    public start(): void {
        void this.placement.run(this.ended.signal);
        void this.followRegistry();
        setInterval(() => this.review(), reviewMs);
    }

    public end(): void {
        this.ended.abort();
    }

    public fence(): Fence {
        return { holder: "leader", token: 1 };
    }

    public orderSent(): void {
        // Nobody else gives orders.
    }

    public awaitedModels(entry: string): ReadonlySet<string> {
        return this.demand.awaitedModels(entry);
    }

    public async barrier(): Promise<void> {
        // All that was accepted is known: there is one leader.
    }

    /** What entries call, without a network. */
    public clients(): PeerClients {
        const client = {
            poll: async (req: PollRequest) => {
                await trip();
                return this.feed.poll(req);
            },
            reportDemand: async (report: DemandRequest) => {
                await trip();
                this.take(report);
                return {
                    allowances: [],
                    permits: this.rates.processReports(report.entry, report.rates.map(decodeRate)),
                };
            },
        };
        // Entries use these two calls of this one service only.
        const open = (service: unknown) => {
            if (service !== FleetService) {
                throw new Error("entries call one service only");
            }
            return client;
        };
        return { client: open as unknown as PeerClients["client"], forget: () => undefined };
    }

    /** Takes in what an engine tells of itself. */
    public announce(engine: SimulatedEngine, service: string): void {
        this.registry.announce(engine.announcement(service));
        this.feed.wakePolls();
    }

    private take(report: DemandRequest): void {
        this.demand.take(report);
        report.mismatches.forEach(mismatch => this.placement.resyncAfterMismatch(mismatch));
        report.unreachable.forEach(id => this.registry.reportUnreachable(id, report.entry));
        if (this.parts.health) {
            this.healths.record(report);
        }
        this.placement.notify();
    }

    private review(): void {
        this.registry.removeExpired();
        if (this.parts.health) {
            this.healths.evaluate();
        }
        this.feed.wakePolls();
    }

    private async followRegistry(): Promise<void> {
        while (!this.ended.signal.aborted) {
            await this.registry.changed.wait(reviewMs);
            this.feed.wakePolls();
            this.placement.notify();
        }
    }

    private calls(): EngineClient {
        const find = (upstream: Upstream) => this.engines.get(upstream.id)!;
        return {
            sendOrder: async (upstream, order, expected) => {
                await trip();
                return find(upstream).order(order, expected);
            },
            fetchReport: async upstream => {
                await trip();
                return find(upstream).report();
            },
            backoffMs: () => 0,
        };
    }
}

function trip(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, tripMs));
}
