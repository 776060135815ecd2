import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { type Deployment, type EngineStats } from "../index.js";
import {
    expectNoFailedRequests,
    maxDrainDelayMs,
    startRedundantDeployment,
    TrafficGenerator,
} from "./trafficgenerators.js";

describe("a planned stop", () => {
    let deployment: Deployment;
    let traffic: TrafficGenerator | undefined;
    afterEach(async () => {
        await traffic?.stop();
        await deployment.stop();
    });

    it("of an agent fails no requests and moves its only replicas, and the agent receives no new requests after three seconds", async () => {
        deployment = await startRedundantDeployment();
        traffic = new TrafficGenerator(deployment, 6);
        const host = (await deployment.waitUntilReady()).models.find(model => model.name === "m1")!.readyAt[0];
        const upstream = deployment.upstream(host);
        const stopRequestedAt = Date.now();
        const code = await upstream.agent.stop();
        expect(code).toEqual(0);
        await deployment.waitForStatus(
            "m1 ready on another host",
            status =>
                status.models.some(({ name, condition, readyAt }) =>
                    name === "m1" && condition === "ready" && !readyAt.includes(host)
                ),
        );
        await traffic.runPastDrainDelay(stopRequestedAt);
        await traffic.stop();
        expectNoFailedRequests(traffic);
        const { lastStartedAt } = await deployment.fetchStats<EngineStats>(host);
        expect(lastStartedAt - stopRequestedAt < maxDrainDelayMs).toEqual(true);
    });

    it("by a drain moves every model elsewhere, and the host receives no new requests after three seconds", async () => {
        deployment = await startRedundantDeployment();
        traffic = new TrafficGenerator(deployment, 6);
        const host = (await deployment.waitUntilReady()).models.find(model => model.name === "m1")!.readyAt[0];
        const { items: drains } = await deployment.client.list("Drain");
        expect(drains).toEqual([]);
        const drainRequestedAt = Date.now();
        await deployment.client.change({
            changeId: "drain",
            operator: "awa",
            items: [{ op: "put", kind: "Drain", name: host, baseVersion: 0, spec: { reason: "new cards" } }],
        }, false);
        await deployment.waitForStatus(
            "all models ready on other hosts",
            status =>
                status.models.every(({ readyAt, wantedReplicas }) =>
                    readyAt.filter(name => name !== host).length >= wantedReplicas
                ),
        );
        await traffic.runPastDrainDelay(drainRequestedAt);
        await traffic.stop();
        expectNoFailedRequests(traffic);
        const { lastStartedAt } = await deployment.fetchStats<EngineStats>(host);
        expect(lastStartedAt - drainRequestedAt < maxDrainDelayMs).toEqual(true);
    });
});
