/**
 * Guards against clients that exhaust a host by the listeners of our own interface: they send requests without end, or
 * hold what they have begun, and read nothing.
 */
import { sleep } from "@winchpath/core";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { createBooking, type CrowdSpec, Deployment, runCrowd } from "../index.js";

/** How long a crowd sends, in milliseconds. */
const crowdMs = 6000;
/** Resident memory that the host is meant to have, in megabytes. */
const maxMemoryMb = 512;
/** Connections of callers in the settings, and descriptors that the host is meant to need with them. */
const maxConnections = 200;
const maxDescriptors = 400;
const serveTimeoutMs = 30_000;
const retryIntervalMs = 50;
const nodeFlags = ["--max-old-space-size=60", "--max-semi-space-size=2"];
const host = "Host: h.example\r\n";
const header = `X-Padding: ${"a".repeat(1000)}\r\n`;
/** Below the bound on bodies in the default settings, 4 MiB. */
const callerBodyBytes = 4_000_000;
/** Below the bound on bodies of the operators' listener, 1 MiB. */
const operatorBodyBytes = 1_000_000;
const body = "b".repeat(1000);

type Crowd = Omit<CrowdSpec, "host" | "port"> & { readonly listener: "callersUrl" | "operatorsUrl" | "peersUrl"; };
const callers = { listener: "callersUrl" } as const;
const operators = { listener: "operatorsUrl" } as const;

/** What each client sends, by what the crowd does. */
const crowds: Record<string, Crowd> = {
    "requests ahead for the list of models": {
        ...callers,
        connections: 190,
        opening: "",
        repeated: `GET /v1/models HTTP/1.1\r\n${host}\r\n`,
    },
    "requests ahead without Host": {
        ...callers,
        connections: 190,
        opening: "",
        repeated: "GET /v1/models HTTP/1.1\r\n\r\n",
    },
    "empty chats ahead": {
        ...callers,
        connections: 190,
        opening: "",
        repeated: `POST /v1/chat/completions HTTP/1.1\r\n${host}Content-Length: 0\r\n\r\n`,
    },
    "bodies all but their ends": {
        ...callers,
        connections: 190,
        opening: `POST /v1/chat/completions HTTP/1.1\r\n${host}Content-Length: ${callerBodyBytes}\r\n\r\n`,
        repeated: body,
        times: callerBodyBytes / body.length - 1,
    },
    "connections without a request": { ...callers, connections: 600, opening: "", repeated: "" },
    "heads without end": {
        ...callers,
        connections: 600,
        opening: `GET /v1/models HTTP/1.1\r\n${host}`,
        repeated: header,
    },
    "heads without end, at the operators' listener": {
        ...operators,
        connections: 600,
        opening: `GET /healthz HTTP/1.1\r\n${host}`,
        repeated: header,
    },
    "empty lines": { ...callers, connections: 600, opening: "", repeated: "\r\n" },
    "requests ahead, at the operators' listener": {
        ...operators,
        connections: 60,
        opening: "",
        repeated: `GET /healthz HTTP/1.1\r\n${host}\r\n`,
    },
    "bodies all but their ends, at the operators' listener": {
        ...operators,
        connections: 600,
        opening: `POST /apis/v1/changes HTTP/1.1\r\n${host}Authorization: Bearer a key for tests on loopback only\r\n`
            + `Content-Type: application/json\r\nContent-Length: ${operatorBodyBytes}\r\n\r\n`,
        repeated: body,
        times: operatorBodyBytes / body.length - 1,
    },
    "connections without a call, at the peers' listener": {
        listener: "peersUrl",
        connections: 600,
        opening: "",
        repeated: "",
    },
};

describe("A host with our own interface, while clients send and read nothing", () => {
    let deployment: Deployment;

    beforeEach(async () => {
        deployment = await Deployment.start({
            dataCentres: ["plateau"],
            engines: [],
            services: [{ name: "booking-1", dataCentre: "plateau", service: "booking-api" }],
            entrySettings: `[limits]\nconnections = ${maxConnections}`,
            entryNodeFlags: nodeFlags,
        });
        await deployment.applyManifests("[[service]]\nname = \"booking-api\"\n");
        await deployment.waitUntilReady();
    });

    afterEach(() => deployment.stop());

    /** Resolves once an ordinary client's request is served; it is sent again at most until `serveTimeoutMs` are over. */
    async function serve(callersUrl: string): Promise<void> {
        const deadline = Date.now() + serveTimeoutMs;
        for (;;) {
            const response = await createBooking(callersUrl, "ordinary").catch(() => undefined);
            if (response?.status === 200) {
                return;
            }
            expect(Date.now()).toBeLessThan(deadline);
            await sleep(retryIntervalMs);
        }
    }

    for (const [name, { listener, ...crowd }] of Object.entries(crowds)) {
        it(`lives within its limits, and serves a request meanwhile and afterwards: ${name}`, async test => {
            const [entry] = deployment.entries;
            const { hostname, port } = new URL(entry[listener]);
            const spec = { host: hostname, port: Number(port), ...crowd };
            const peak = await runCrowd(spec, entry.process, crowdMs, () => serve(entry.callersUrl));
            expect(peak !== undefined).toEqual(true);
            test.diagnostic(`${name}: ${peak!.memoryMb.toFixed(0)} MB, ${peak!.fileDescriptors} descriptors`);
            expect(peak!.memoryMb).toBeLessThanOrEqual(maxMemoryMb);
            expect(peak!.fileDescriptors).toBeLessThanOrEqual(maxDescriptors);
            await deployment.waitUntilReady();
            await serve(entry.callersUrl);
        });
    }
});
