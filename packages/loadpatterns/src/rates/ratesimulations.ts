/** Simulation of entries that send requests to one upstream with an advertised rate limit. */
import { steadyNow } from "@winchpath/core";
import { mock } from "node:test";
import { SeededRandom } from "../seededrandoms.js";
import { type RatePolicy, type RatePolicyContext } from "./policies.js";
import { SimulatedNetwork } from "./simulatednetworks.js";

const stepMs = 10;
const epochMs = 1_000_000_000;
/** When the upstream starts to advertise its limit, in milliseconds after the start. */
const limitFromMs = 1000;
/** Time from the first advertisement until the limit has to be met, in milliseconds. */
const enforcementDelayMs = 3000;
const durationMs = 20_000;
/** Length of the sliding window in which arrivals are counted, in milliseconds. */
const windowMs = 4000;
/** Maximum service time of a request at the upstream, in milliseconds. */
const maxServiceMs = 400;
/** Interval of the fault, in milliseconds after the start. */
const faultFromMs = 8000;
const faultUntilMs = 12_000;
/** Fraction of the entries that the `cut` fault disconnects. */
const partitionedRatio = 0.125;
/** Lower bound of the rate to which `demandFactor` applies, so that a limit of 0 also gets demand. */
const minDemand = 0.5;

/** `calm`: no fault; `lost`: the coordinator fails; `cut`: some entries can't reach the others or the coordinator. */
export type RateFault = "calm" | "lost" | "cut";

export interface RateScenario {
    readonly entries: number;
    /** The limit that the upstream advertises, in requests per second. */
    readonly perSecond: number;
    /** Demand as a multiple of the limit. */
    readonly demandFactor: number;
    /** Whether one entry receives all requests. */
    readonly isSingleEntry: boolean;
    /** Fault that is injected during a part of the run. */
    readonly fault: RateFault;
}

export interface RateResult {
    /** Maximum arrivals in a window, divided by the allowed number; above 1 if the limit was violated. */
    readonly worst: number;
    /** Arrivals divided by the requests that the limit allows; undefined if demand was below the limit. */
    readonly used: number | undefined;
    readonly messagesPerSecond: number;
    readonly bytesPerSecond: number;
}

/** Runs a scenario once. */
export function runRateScenario(
    scenario: RateScenario,
    createPolicy: (context: RatePolicyContext) => RatePolicy,
    seed: number,
): RateResult {
    mock.timers.enable({ apis: ["Date"], now: epochMs });
    try {
        return new RateSimulation(scenario, createPolicy, new SeededRandom(seed)).run();
    }
    finally {
        mock.timers.reset();
    }
}

class RateSimulation {
    private readonly network: SimulatedNetwork;
    private readonly policy: RatePolicy;
    private readonly arrivals: number[] = [];
    private dueRequests = 0;

    public constructor(
        private readonly scenario: RateScenario,
        createPolicy: (context: RatePolicyContext) => RatePolicy,
        private readonly random: SeededRandom,
    ) {
        this.network = new SimulatedNetwork(random);
        this.policy = createPolicy({ entries: scenario.entries, network: this.network, random });
        this.network.schedule(faultFromMs, () => this.setFault(true));
        this.network.schedule(faultUntilMs, () => this.setFault(false));
    }

    public run(): RateResult {
        while (this.now < durationMs) {
            this.network.runDue();
            this.sendDueRequests();
            this.policy.tick();
            mock.timers.tick(stepMs);
        }
        return this.result();
    }

    private get now(): number {
        return steadyNow() - epochMs;
    }

    private get demand(): number {
        return this.scenario.demandFactor * Math.max(this.scenario.perSecond, minDemand);
    }

    private setFault(isActive: boolean): void {
        const { fault, entries } = this.scenario;
        if (fault === "lost") {
            if (isActive) {
                this.policy.loseCoordinator();
            }
            else {
                this.policy.restoreCoordinator();
            }
        }
        if (fault === "cut") {
            const count = Math.max(1, Math.round(entries * partitionedRatio));
            for (let entry = 0; entry < count; entry++) {
                this.policy.setPartitioned(entry, isActive);
            }
        }
    }

    private sendDueRequests(): void {
        this.dueRequests += this.demand * stepMs / 1000;
        for (; this.dueRequests >= 1; this.dueRequests--) {
            const entry = this.scenario.isSingleEntry ? 0 : this.random.integerBelow(this.scenario.entries);
            this.policy.requestPermit(entry, isPermitted => {
                if (isPermitted) {
                    this.send(entry);
                }
            });
        }
    }

    private send(entry: number): void {
        const sentAt = steadyNow();
        this.network.send(() => {
            this.arrivals.push(this.now);
            this.network.schedule(this.random.uniform() * maxServiceMs, () => {
                const advertised = this.now >= limitFromMs ? this.scenario.perSecond : undefined;
                this.network.send(() => this.policy.onResponse(entry, advertised, sentAt));
            });
        });
    }

    private result(): RateResult {
        const { perSecond } = this.scenario;
        const from = limitFromMs + enforcementDelayMs;
        const times = this.arrivals.filter(at => at >= from);
        const counts = times.map(begin => times.filter(at => at >= begin && at < begin + windowMs).length);
        const maxArrivals = Math.floor(1.5 * perSecond * windowMs / 1000 + 5);
        const allowedRequests = perSecond * (durationMs - from) / 1000;
        const seconds = durationMs / 1000;
        return {
            worst: Math.max(0, ...counts) / maxArrivals,
            used: this.demand >= perSecond && allowedRequests >= 1 ? times.length / allowedRequests : undefined,
            messagesPerSecond: this.policy.cost.messages / seconds,
            bytesPerSecond: this.policy.cost.bytes / seconds,
        };
    }
}
