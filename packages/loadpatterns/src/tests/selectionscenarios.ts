/** Seeded selections among a few engines, for comparisons with recorded results. */
import { create } from "@bufbuild/protobuf";
import { noCharge } from "@winchpath/accounts";
import { type EngineSpec, type Route } from "@winchpath/declarations";
import { type Upstream, UpstreamSchema } from "@winchpath/fleet";
import {
    type InboundRequest,
    requiredCacheTokens,
    type SelectionCosts,
    type ThroughputTable,
    unsharedPromptTokens,
    UpstreamEndpoint,
} from "@winchpath/forwarding";
import { mock } from "node:test";
import { summaries } from "../routes.js";
import { SeededRandom } from "../seededrandoms.js";

export const scenarioSpec: EngineSpec = {
    slots: 24,
    cacheTokens: 60_000,
    memoryMb: 200_000,
    adapterPlaces: 8,
    storeLoadsPerSecond: 6,
    models: [],
};
const endpointCount = 6;
const stepCount = 40;
const maxStepMs = 400;

export function scenarioUpstream(index: number): Upstream {
    return create(UpstreamSchema, {
        id: `e${index}`,
        name: `e${index}`,
        service: "s",
        address: `e${index}:1`,
        dataCentre: ["a", "b", "c"][index % 3],
        slots: scenarioSpec.slots,
    });
}

/** A request for model `m` with one shared prompt part. */
export function scenarioRequest(
    id: string,
    route: Route,
    sharedTokens: number,
    ownTokens: number,
    outputTokens: number,
): InboundRequest {
    return {
        id,
        method: "POST",
        host: "",
        url: "/",
        headers: [],
        body: Buffer.alloc(0),
        metadata: {
            id,
            apiKey: undefined,
            limitTokens: undefined,
            deadlineMs: route.timeoutMs,
            model: "m",
            adapter: "",
            promptTokens: sharedTokens + ownTokens,
            maxOutputTokens: outputTokens,
            expectedOutputTokens: outputTokens,
            promptParts: [{ id: `shared-${sharedTokens}`, tokens: sharedTokens }, { id, tokens: ownTokens }],
            resumeFrom: undefined,
            resumedId: undefined,
        },
        route,
        service: "s",
        startedAt: Date.now(),
        priority: route.priority,
        grant: undefined,
        charge: noCharge,
        deadlineAt: Date.now() + route.timeoutMs,
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

/** Plays sends, ends, load reports and selections; returns the costs, and the capacity as one digit per endpoint. */
export function playSelections(
    seed: number,
    createCosts: (throughput: ThroughputTable) => SelectionCosts,
    throughput: ThroughputTable,
): string[] {
    mock.timers.enable({ apis: ["Date"], now: 1_000_000_000 });
    try {
        const random = new SeededRandom(seed);
        const costs = createCosts(throughput);
        const endpoints = Array.from(
            { length: endpointCount },
            (_, index) => new UpstreamEndpoint(scenarioUpstream(index), 4),
        );
        const running: (() => void)[] = [];
        const results: string[] = [];
        for (let step = 0; step < stepCount; step++) {
            mock.timers.tick(random.integerBelow(maxStepMs));
            const route: Route = { ...summaries, priority: random.integerBelow(3), sticky: random.uniform() < 0.5 };
            const request = scenarioRequest(
                `q${step}`,
                route,
                random.integerBelow(8000),
                1 + random.integerBelow(4000),
                1 + random.integerBelow(300),
            );
            const endpoint = endpoints[random.integerBelow(endpointCount)];
            endpoint.updateReportedLoad({
                running: random.integerBelow(20),
                waiting: random.integerBelow(6),
                slots: scenarioSpec.slots,
            });
            throughput.addSample("s", "m", 1000 + random.integerBelow(9000), 20 + random.integerBelow(400));
            const tracked = endpoint.track(
                request.priority,
                unsharedPromptTokens(request),
                requiredCacheTokens(request),
            );
            running.push(random.uniform() < 0.4 ? tracked.markPromptRead : tracked.finish);
            if (random.uniform() < 0.6) {
                running.splice(random.integerBelow(running.length), 1).forEach(end => end());
            }
            const cost = costs.for(scenarioSpec);
            const values = cost.costs(request, endpoints).map(value => value.toFixed(1));
            const capacity = endpoints.map(each => cost.hasCapacity(request, each) ? "1" : "0");
            results.push(`${values.join(" ")} ${capacity.join("")}`);
        }
        return results;
    }
    finally {
        mock.timers.reset();
    }
}
