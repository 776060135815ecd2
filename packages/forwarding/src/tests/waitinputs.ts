/** Random inputs of wait decisions, reproducible by number, for comparisons with recorded results. */
import { noCharge } from "@winchpath/accounts";
import { steadyNow } from "@winchpath/core";
import { type Configuration, type EngineModel, type Route } from "@winchpath/declarations";
import { type FleetView } from "@winchpath/fleet";
import { type EndpointTable, type InboundRequest, type Unavailable } from "../index.js";
import { testRoute } from "./testservers.js";

export interface WaitInput {
    readonly request: InboundRequest;
    readonly reason: Unavailable;
    readonly view: FleetView<Configuration>;
    readonly endpoints: EndpointTable;
}

const modelName = "m";
const kinds = ["safe", "unsafe", "streaming"] as const;
const reasonKinds = ["full", "lacking", "lacking", "resting", "limited", "none"] as const;

/** Returns the values of a reproducible sequence from 0 to 1 (multiplicative congruential generator). */
function sequence(seed: number): () => number {
    const modulus = 2_147_483_647;
    let state = seed * 48_271 % modulus;
    return () => (state = state * 48_271 % modulus) / modulus;
}

/** `loadMs`: load time from the weight store; the default exceeds every objective. */
export function waitInput(number: number, loadMs = 9000): WaitInput {
    const next = sequence(number + 1);
    const upTo = (max: number) => Math.floor(next() * max);
    const objectiveMs = 100 + upTo(8000);
    const route = testRoute({
        kind: kinds[upTo(kinds.length)],
        objectiveMs,
        timeoutMs: objectiveMs + 200 + upTo(8000),
        pauseMs: upTo(2) * 500,
        priority: upTo(3),
    });
    const ageMs = upTo(route.timeoutMs / 2);
    const adapter = next() < 0.3 ? "a" : "";
    const readyInMs = next() < 0.5 ? upTo(6000) : undefined;
    const isHeld = next() < 0.3;
    const model: EngineModel = {
        name: modelName,
        sizeMb: 1,
        loadMs,
        memoryLoadMs: 800,
        diskLoadMs: 400 + upTo(3000),
        adapters: 1,
        adapterMb: 1,
    };
    return {
        request: testRequest(route, ageMs, adapter),
        reason: reasonOf(reasonKinds[upTo(reasonKinds.length)], upTo(2000)),
        view: {
            configuration: { services: [{ name: "s", maxConnections: 1, engine: engineWith(model) }], routes: [route] },
            readyInMs: () => readyInMs,
        } as unknown as FleetView<Configuration>,
        endpoints: {
            ready: () =>
                isHeld ? [{ description: { models: [{ name: modelName, leaving: false, readyInMs: 0 }] } }] : [],
        } as unknown as EndpointTable,
    };
}

function reasonOf(kind: Unavailable["kind"], inMs: number): Unavailable {
    return kind === "resting" || kind === "limited" ? { kind, until: steadyNow() + inMs } : { kind };
}

function engineWith(model: EngineModel) {
    return { slots: 1, cacheTokens: 1, memoryMb: 1, adapterPlaces: 1, storeLoadsPerSecond: 1, models: [model] };
}

/** A request for the model, received `ageMs` ago by the runtime's clock. */
export function testRequest(route: Route, ageMs: number, adapter = "", startedAt = steadyNow()): InboundRequest {
    return {
        id: "q",
        method: "POST",
        host: "",
        url: "/",
        headers: [],
        body: Buffer.alloc(0),
        metadata: {
            id: "q",
            apiKey: undefined,
            limitTokens: undefined,
            deadlineMs: route.timeoutMs,
            model: modelName,
            adapter,
            promptTokens: 100,
            maxOutputTokens: 10,
            expectedOutputTokens: 10,
            promptParts: [{ id: "p", tokens: 100 }],
            resumeFrom: undefined,
            resumedId: undefined,
        },
        route,
        service: "s",
        priority: route.priority,
        grant: undefined,
        charge: noCharge,
        startedAt: startedAt - ageMs,
        deadlineAt: startedAt - ageMs + route.timeoutMs,
        abortSignal: new AbortController().signal,
        decidedByVersion: 1,
        confirmedAgeMs: 0,
        attemptedUpstreams: [],
        declinedUpstreams: new Set(),
        lostConnections: 0,
        lastEventId: undefined,
        responseStarted: false,
    };
}
