/** Scenarios for the enforcement of an account limit across entries, and their execution on a simulated clock. */
import { steadyNow } from "@winchpath/core";
import { type AccountLimit } from "@winchpath/declarations";
import { SeededRandom } from "../seededrandoms.js";
import { SimulatedClock } from "../simulatedclocks.js";
import { type LimitPolicy } from "./policies.js";

/** Usage above a limit that is accepted. */
export const tolerance = { windowMs: 8000, overage: 0.1, slack: 17_000 };

export const defaultLimit: AccountLimit = { unit: "tokens", perSecond: 138_000, burst: 138_000, plainTokens: 200 };

const stepMs = 10;
const meanRequestUnits = 2000;
const minRequestRatio = 0.4;

export interface LimitScenario {
    readonly name: string;
    readonly entries: number;
    readonly seconds: number;
    readonly limit: AccountLimit;
    /** Requested units per second, at a time in seconds after the start. */
    readonly demandAt: (second: number) => number;
    /** Entries that receive the account's requests at a time. */
    readonly entriesAt: (second: number) => readonly number[];
    /** Events in order of time, in seconds after the start. */
    readonly events?: readonly { readonly at: number; readonly apply: (policy: LimitPolicy) => void; }[];
    /** Limit in force at a time; defaults to `limit`. */
    readonly limitAt?: (second: number) => AccountLimit;
}

export interface LimitResult {
    /** Refused units beyond those that a single shared bucket would refuse, as a fraction of the requested units. */
    readonly refusedBelow: number;
    /** Maximum of admitted units in a window divided by the accepted usage, minus 1; positive if the tolerance is exceeded. */
    readonly over: number;
    /** 99th percentile of the admission delay of admitted requests, in milliseconds. */
    readonly waitP99Ms: number;
    readonly messagesPerSecond: number;
}

interface AdmittedRequest {
    readonly at: number;
    readonly units: number;
}

/** Runs a scenario on a simulated clock. */
export async function runLimitScenario(
    scenario: LimitScenario,
    createPolicy: (scenario: LimitScenario) => LimitPolicy,
    seed: number,
): Promise<LimitResult> {
    const clock = SimulatedClock.install();
    try {
        const random = new SeededRandom(seed);
        const policy = createPolicy(scenario);
        const startedAt = steadyNow();
        const admitted: AdmittedRequest[] = [];
        const waits: number[] = [];
        const ideal = new IdealBucket(scenario.limit);
        let requested = 0;
        let refused = 0;
        let idealRefused = 0;
        const events = [...scenario.events ?? []];
        for (let second = 0; second < scenario.seconds; second = (steadyNow() - startedAt) / 1000) {
            while (events.length > 0 && events[0].at <= second) {
                events.shift()!.apply(policy);
            }
            const limit = scenario.limitAt?.(second) ?? scenario.limit;
            ideal.setLimit(limit);
            const requests = scenario.demandAt(second) / meanRequestUnits * stepMs / 1000;
            const count = Math.floor(requests) + (random.uniform() < requests % 1 ? 1 : 0);
            for (let number = 0; number < count; number++) {
                const units = Math.round(
                    meanRequestUnits * (minRequestRatio + 2 * (1 - minRequestRatio) * random.uniform()),
                );
                const entries = scenario.entriesAt(second);
                const entry = entries[random.integerBelow(entries.length)];
                const requestedAt = steadyNow();
                requested += units;
                idealRefused += ideal.tryTake(units) ? 0 : units;
                void policy.admit(entry, units).then(isAdmitted => {
                    if (isAdmitted) {
                        admitted.push({ at: steadyNow(), units });
                        waits.push(steadyNow() - requestedAt);
                    }
                    else {
                        refused += units;
                    }
                });
            }
            await clock.advance(stepMs);
        }
        await clock.advance(1000);
        policy.stop();
        waits.sort((a, b) => a - b);
        return {
            refusedBelow: Math.max(0, refused - idealRefused) / requested,
            over: maxExcess(admitted, scenario, startedAt),
            waitP99Ms: waits[Math.floor(waits.length * 0.99)] ?? 0,
            messagesPerSecond: policy.cost.messages / scenario.seconds,
        };
    }
    finally {
        clock.restore();
    }
}

/** A single bucket that sees every request without delay. */
class IdealBucket {
    private level: number;
    private refilledAt = steadyNow();

    public constructor(private limit: AccountLimit) {
        this.level = limit.burst;
    }

    public setLimit(limit: AccountLimit): void {
        this.refill();
        this.limit = limit;
        this.level = Math.min(this.level, limit.burst);
    }

    public tryTake(units: number): boolean {
        this.refill();
        const isAdmitted = this.level >= units;
        this.level -= isAdmitted ? units : 0;
        return isAdmitted;
    }

    private refill(): void {
        const now = steadyNow();
        this.level = Math.min(this.limit.burst, this.level + this.limit.perSecond * (now - this.refilledAt) / 1000);
        this.refilledAt = now;
    }
}

/** Returns the maximum relative excess over all windows. A lowered limit applies one window after the change. */
function maxExcess(admitted: readonly AdmittedRequest[], scenario: LimitScenario, startedAt: number): number {
    let worst = -1;
    let first = 0;
    let windowUnits = 0;
    for (const { at, units: added } of admitted) {
        windowUnits += added;
        while (admitted[first].at <= at - tolerance.windowMs) {
            windowUnits -= admitted[first].units;
            first += 1;
        }
        const from = Math.max(0, (at - startedAt - tolerance.windowMs) / 1000);
        const { perSecond, burst } = scenario.limitAt?.(from) ?? scenario.limit;
        const allowed = (perSecond * tolerance.windowMs / 1000 + burst) * (1 + tolerance.overage) + tolerance.slack;
        worst = Math.max(worst, windowUnits / allowed - 1);
    }
    return worst;
}
