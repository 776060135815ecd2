/**
 * Cost of sending a request to an engine, by the time to its first event and by the gaps that it causes in streams.
 *
 * Load: long prompts and streams with an allowed gap share engines. Prompts that arrive together at one engine delay
 * the next event of every stream there by the time to prefill all of them.
 */
import { type EnginePace } from "./enginepaces.js";
import { eventIntervalMs, longestGapMs, prefillMs } from "./enginesteps.js";

/** A request to be placed. */
export interface PlacedRequest {
    /** Time left until the objective for the first event, in milliseconds. */
    readonly objectiveLeftMs: number;
    /** Longest allowed time between its own events, in milliseconds; 0 for none. */
    readonly allowedGapMs: number;
    /** Whether its prompt is long enough to cause gaps in streams. */
    readonly isLong: boolean;
}

/** What the cost depends on at one engine. */
export interface EngineState {
    readonly pace: EnginePace;
    readonly slots: number;
    readonly running: number;
    /** Requests of other entries, running or waiting. */
    readonly others: number;
    /** Prompt tokens that are prefilled before the request's own. */
    readonly tokensAhead: number;
    /** Those of them that certainly still wait. */
    readonly knownTokensAhead: number;
    /** All prompt tokens that wait, including those that are prefilled after the request's own. */
    readonly tokensWaiting: number;
    /** Prompt tokens of the request that the engine does not have cached. */
    readonly prefillTokens: number;
    /** Smallest allowed gap of the streams there, in milliseconds; undefined if none has one. */
    readonly tightestGapMs: number | undefined;
    /** Share of this entry's recent long prompts that were sent there, from 0 to 1. */
    readonly longPromptShare: number;
}

/** What is expected if the request is sent to an engine, in milliseconds. */
export interface Interference {
    /** Time to the request's first event. */
    readonly firstEventMs: number;
    /** Longest gap in the streams there without the request. */
    readonly gapBeforeMs: number;
    /** Longest gap in the streams there with the request. */
    readonly gapAfterMs: number;
    /** Gap in the request's own stream by prompts that are prefilled after its own. */
    readonly ownGapMs: number;
}

export function interferenceOf(state: EngineState): Interference {
    const { pace, running, slots, tokensAhead, tokensWaiting, prefillTokens } = state;
    const intervalMs = eventIntervalMs(pace, running, slots);
    return {
        firstEventMs: prefillMs(pace, tokensAhead + prefillTokens) + intervalMs,
        gapBeforeMs: longestGapMs(pace, intervalMs, tokensWaiting),
        gapAfterMs: longestGapMs(pace, eventIntervalMs(pace, running + 1, slots), tokensWaiting + prefillTokens),
        ownGapMs: longestGapMs(pace, intervalMs, Math.max(0, tokensWaiting - tokensAhead)),
    };
}

/**
 * Returns the cost, without a unit: 1 is a request whose first event arrives just in time, or a stream with a gap that
 * is just allowed. It grows with the square, so that a limit that is nearly reached weighs more than one far away.
 */
export function interferenceCost(
    { objectiveLeftMs, allowedGapMs, isLong }: PlacedRequest,
    { running, tightestGapMs, longPromptShare }: EngineState,
    { firstEventMs, gapBeforeMs, gapAfterMs, ownGapMs }: Interference,
): number {
    const late = (firstEventMs / Math.max(1, objectiveLeftMs)) ** 2;
    const own = allowedGapMs > 0 ? (ownGapMs / allowedGapMs) ** 2 : 0;
    const streams = tightestGapMs === undefined
        ? 0
        : running * (gapAfterMs ** 2 - gapBeforeMs ** 2) / tightestGapMs ** 2;
    // Long prompts that other requests will send there while the stream lasts.
    const expected = allowedGapMs > 0 && !isLong ? longPromptShare : 0;
    return late + own + streams + expected;
}

/** Share of the time left until the objective that the first event may take at the home of a prefix. */
const maxHomeObjectiveShare = 0.5;
/** Share of the slots in use up to which an engine is the home of a prefix. */
const maxHomeSlotShare = 0.5;

/** Whether an engine can take a prompt whose prefix is assigned to it; otherwise the next one does (bounded load). */
export function acceptsPrefix(
    { objectiveLeftMs }: PlacedRequest,
    { running, slots }: EngineState,
    { firstEventMs }: Interference,
): boolean {
    return firstEventMs <= objectiveLeftMs * maxHomeObjectiveShare && running <= slots * maxHomeSlotShare;
}
