/** Messages between entries and the leader about accounts with a limit. Amounts are in the unit of the limit. */
import { type AccountLimit } from "@winchpath/declarations";

/** Unused grants expire after this time, in milliseconds: four report intervals. */
export const grantLifetimeMs = 2000;

/** Usage of an account at one entry; totals since the entry's process started. */
export interface AccountCounts {
    readonly account: string;
    /** Units admitted, less those refunded. */
    readonly used: number;
    /** Units requested, admitted or not. */
    readonly asked: number;
    /** Unused units of grants. */
    readonly credit: number;
    /** Units of the largest request waiting for a grant; 0 if none is. */
    readonly waiting: number;
    /** Whether the entry admits requests only within its grants, or its fallback rate when no leader responds. */
    readonly held: boolean;
}

/** What an entry may admit from now on. */
export interface Allowance {
    readonly account: string;
    /** Whether requests are admitted only within grants. */
    readonly strict: boolean;
    /** Units added to the unused ones of earlier grants. */
    readonly grant: number;
    /** No further units are granted for this many milliseconds. */
    readonly dryMs: number;
    /** Units per second that may be admitted while the leader doesn't respond. */
    readonly fallbackPerSecond: number;
    /** Number of unreported units after which the entry reports at once. */
    readonly reportAfter: number;
}

/** How far all entries together may exceed a limit. */
export interface LimitTolerance {
    readonly windowMs: number;
    /** Share of the units that the limit allows in a window. */
    readonly overage: number;
    /** Additional units, the same for every limit. */
    readonly slack: number;
}

/** Units that a request consumes; `tokens`: prompt tokens plus the maximum to generate, if the request states them. */
export function unitsOf(limit: AccountLimit, tokens: number | undefined): number {
    return limit.unit === "requests" ? 1 : tokens ?? limit.plainTokens;
}

/** Share of the tolerance that all entries together may admit without reporting. */
const unreportedShare = 0.4;

/** Units that one of `entries` entries may admit before it has to report at once. */
export function maxUnreportedUnits(limit: AccountLimit, tolerance: LimitTolerance, entries: number): number {
    return Math.floor(toleratedUnits(limit, tolerance) * unreportedShare / entries);
}

/** Units by which a limit may be exceeded within a window. */
function toleratedUnits({ perSecond, burst }: AccountLimit, tolerance: LimitTolerance): number {
    const allowed = perSecond * tolerance.windowMs / 1000 + burst;
    return allowed * tolerance.overage + tolerance.slack;
}
