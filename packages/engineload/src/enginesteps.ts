/**
 * Model of an engine's steps. Each step decodes a token of every running request and prefills a chunk of the waiting
 * prompts. An event holds several tokens, so the time between two events includes several steps; while prompts wait,
 * each of these steps is extended by a chunk, up to the prompt tokens that wait in total.
 */
import { type EnginePace } from "./enginepaces.js";

/** Ratio of the step durations of an engine whose slots are all in use and of an idle one, less one. */
const fullSlotsSlowdown = 1;

/** Duration of a step with `running` of `slots` requests, relative to an idle engine. */
export function loadFactor(running: number, slots: number): number {
    return 1 + fullSlotsSlowdown * Math.min(1, running / Math.max(1, slots));
}

/** Time between two events with `running` of `slots` requests and no prompts to prefill, in milliseconds. */
export function eventIntervalMs(pace: EnginePace, running: number, slots: number): number {
    return (pace.eventMs ?? 0) * loadFactor(running, slots);
}

/** Time to prefill that many prompt tokens, in milliseconds. */
export function prefillMs(pace: EnginePace, tokens: number): number {
    return tokens / pace.promptTokensPerMs;
}

/** Upper bound of the time between two events while that many prompt tokens are prefilled, in milliseconds. */
export function longestGapMs(pace: EnginePace, intervalMs: number, tokens: number): number {
    return intervalMs + prefillMs(pace, tokens);
}
