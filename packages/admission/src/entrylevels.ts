/** The admission limit of a service at one entry: the leader's, corrected and replaced by the entry's own signals. */
import { targetLimit } from "./admissiontargets.js";
import { type LevelCounts, type LevelRate, LevelRates } from "./levelrates.js";
import { type AdmissionLimit, openLimit, SteadyLevel } from "./steadylevels.js";

/** The leader's limit for a service, and the age of the response that had it, in milliseconds. */
export interface LeaderLimit {
    readonly limit: AdmissionLimit;
    readonly ageMs: number;
}

/** The last limit holds for this long without a leader: an election and the first polls of the next one. */
export const holdMs = 3000;
/** Duration of the change from the last limit to the entry's own, in milliseconds. */
const decayMs = 2000;
/** Upstreams are fuller than the leader knows if they decline this share of the entry's attempts. */
const declinedShare = 0.25;
/** How far such declines lower the limit, in levels: not so far that a local fault overrides the fleet's limit. */
const correction = 0.5;

export class EntryLevel {
    private readonly rates = new LevelRates();
    private readonly own = new SteadyLevel();
    private readonly applied = new SteadyLevel();

    /** Records what happened at this entry; `now`: monotonic time in milliseconds. */
    public record(counts: LevelCounts, now: number): void {
        this.rates.add([counts], now);
    }

    /** Rates of the requests at this entry. */
    public currentRates(now: number): LevelRate[] {
        return this.rates.rates(now);
    }

    /** Returns the limit to apply now. `leader`: undefined until a leader has responded. */
    public update(leader: LeaderLimit | undefined, now: number): AdmissionLimit {
        const rates = this.rates.rates(now);
        const levels = rates.map(({ level }) => level);
        const own = this.own.update(targetLimit(rates, this.own.current), now, levels);
        return this.applied.update(leader === undefined ? own : combine(leader, own, rates), now, levels);
    }
}

/** Moves from the leader's limit to the entry's own as the leader's gets old, and corrects it by declined attempts. */
function combine({ limit, ageMs }: LeaderLimit, own: AdmissionLimit, rates: readonly LevelRate[]): AdmissionLimit {
    const ownShare = Math.min(1, Math.max(0, (ageMs - holdMs) / decayMs));
    const held = limit + (own - limit) * ownShare;
    const mostUrgent = (rates[0]?.level ?? 0) + 1;
    return held < openLimit && isDeclinedOften(rates) ? Math.max(Math.min(held, mostUrgent), held - correction) : held;
}

function isDeclinedOften(rates: readonly LevelRate[]): boolean {
    const sent = rates.reduce((sum, rate) => sum + rate.sent, 0);
    const declined = rates.reduce((sum, rate) => sum + rate.declined, 0);
    return declined > sent * declinedShare;
}
