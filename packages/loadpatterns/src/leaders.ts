/** The leader of a simulated fleet, built from the production registry, feed, demand book, health watch and placement. */
import { RateLedger } from "@winchpath/availability";
import { silentLog } from "@winchpath/core";
import { type Configuration, type ConfigurationDocument } from "@winchpath/declarations";
import {
    decodeRate,
    DemandBook,
    type DemandRequest,
    type EngineCalls,
    EnginePlacement,
    Feed,
    type FeedControl,
    type Fence,
    FleetService,
    HealthWatch,
    type PlacementControl,
    type PollRequest,
    Registry,
    type Upstream,
} from "@winchpath/fleet";
import { CrashBook } from "@winchpath/quarantine";
import { type PeerClients } from "@winchpath/rpc";
import { type SimulatedEngine } from "./engines.js";

export const leaderUrl = "http://leader";
/** Interval between announcements of an engine, in milliseconds. */
export const announceMs = 1200;
/** Interval at which the leader expires outdated state, in milliseconds. */
const reviewIntervalMs = 1000;
/** One-way delay between two processes, in milliseconds. */
const networkDelayMs = 1;

/** Mechanisms of the leader that an experiment can disable. */
export interface LeaderFeatures {
    readonly health: boolean;
}

export class SimulatedLeader implements FeedControl, PlacementControl {
    public readonly epoch = "1/leader";
    public readonly quorumAgeMs = 0;
    public readonly ledMs = 60_000;
    public readonly leaderUrl = leaderUrl;
    public readonly controlUrls = [leaderUrl];
    public readonly announceMs = announceMs;
    public readonly registry = new Registry(silentLog);
    public readonly document: ConfigurationDocument;
    public readonly quarantine = new CrashBook();
    private readonly feed: Feed;
    private readonly demand = new DemandBook(silentLog);
    private readonly healthWatch = new HealthWatch(this.registry);
    private readonly rates = new RateLedger(silentLog, (id, limited) => this.registry.setLimited(id, limited));
    private readonly placement: EnginePlacement;
    private readonly stopController = new AbortController();

    public constructor(
        public readonly configuration: Configuration,
        private readonly engines: ReadonlyMap<string, SimulatedEngine>,
        private readonly features: LeaderFeatures,
    ) {
        this.document = { version: configuration.version, text: JSON.stringify(configuration) };
        this.feed = new Feed(this.registry, this, silentLog);
        this.placement = new EnginePlacement(this, this.registry, this.demand, this.engineCalls(), silentLog);
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

    public gaveOrder(): void {
        // There is no other leader that has to know of the order.
    }

    public awaitedAt(entry: string): ReadonlySet<string> {
        return this.demand.awaitedAt(entry);
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
                return { allowances: [], permits: this.rates.take(report.entry, report.rates.map(decodeRate)) };
            },
        };
        // Entries call only these two methods of the fleet service.
        const openClient = (service: unknown) => {
            if (service !== FleetService) {
                throw new Error("simulated entries may call the fleet service only");
            }
            return client;
        };
        return { client: openClient as unknown as PeerClients["client"], forget: () => undefined };
    }

    /** Registers an engine's announcement. */
    public announce(engine: SimulatedEngine, service: string): void {
        this.registry.announce(engine.announcement(service));
        this.feed.wake();
    }

    private handleDemandReport(report: DemandRequest): void {
        this.demand.take(report);
        report.mismatches.forEach(mismatch => this.placement.doubt(mismatch));
        report.unreachable.forEach(id => this.registry.unreachable(id, report.entry));
        if (this.features.health) {
            this.healthWatch.take(report);
        }
        this.placement.notify();
    }

    private expireStale(): void {
        this.registry.expire();
        if (this.features.health) {
            this.healthWatch.review();
        }
        this.feed.wake();
    }

    private async followRegistry(): Promise<void> {
        while (!this.stopController.signal.aborted) {
            await this.registry.changed.wait(reviewIntervalMs);
            this.feed.wake();
            this.placement.notify();
        }
    }

    private engineCalls(): EngineCalls {
        const engineOf = (upstream: Upstream) => this.engines.get(upstream.id)!;
        return {
            order: async (upstream, order, expected) => {
                await networkDelay();
                return engineOf(upstream).handleOrder(order, expected);
            },
            report: async upstream => {
                await networkDelay();
                return engineOf(upstream).report();
            },
            restMs: () => 0,
        };
    }
}

function networkDelay(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, networkDelayMs));
}
