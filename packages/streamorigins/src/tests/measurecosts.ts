/** Prints what the records of streams cost: `node packages/streamorigins/dist/tests/measurecosts.js`. */

import { create, toBinary } from "@bufbuild/protobuf";
import { Metrics, silentLog } from "@winchpath/core";
import { RpcClients, RpcServer } from "@winchpath/rpc";
import { Timeline } from "@winchpath/timeline";
import { RecordRequestSchema } from "../gen/winchpath/streamorigins/v1/streamorigins_pb.js";
import { OriginRecordStore, StreamOriginClient, StreamOriginService, streamOriginService } from "../index.js";
import { streamOf, TestView } from "./testmembers.js";

const streamCount = 50_000;
const streamsPerTurn = 50;
const pauseMs = 5;
const memberCount = 3;
const options = { key: undefined, timeline: new Timeline({ process: "measure", host: "h", dataCentre: "d" }) };
const stores = Array.from({ length: memberCount }, () => new OriginRecordStore(silentLog, new Metrics()));
const servers = await Promise.all(stores.map(store =>
    RpcServer.listen(
        { host: "127.0.0.1", port: 0 },
        router => router.service(StreamOriginService, streamOriginService(store)),
        options,
    )
));
const urls = servers.map(server => `http://127.0.0.1:${server.port}`);
const clients = new RpcClients(options);

/** Records streams as they come in, and prints the processor time and memory of each. */
async function measure(versions: readonly string[], prefix: string): Promise<StreamOriginClient> {
    const view = new TestView(urls);
    view.versions = { chat: versions };
    const client = new StreamOriginClient(view, clients, silentLog, new Metrics());
    globalThis.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    const cpuBefore = process.cpuUsage();
    let recordMs = 0;
    for (let i = 0; i < streamCount; i += streamsPerTurn) {
        const streams = Array.from(
            { length: streamsPerTurn },
            (_, j) => streamOf(`${prefix}-0123456789abcdef-${i + j}`, { url: `/v1/chat/completions?session=${i + j}` }),
        );
        const startedAt = performance.now();
        streams.forEach(stream => client.record(stream, versions[0]));
        recordMs += performance.now() - startedAt;
        await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
    await new Promise(resolve => setTimeout(resolve, 500));
    const cpu = process.cpuUsage(cpuBefore);
    globalThis.gc?.();
    console.log({
        versions: versions.length,
        recordCallMicros: recordMs * 1000 / streamCount,
        processCpuMicrosPerStream: (cpu.user + cpu.system) / streamCount,
        heapBytesPerStream: (process.memoryUsage().heapUsed - heapBefore) / streamCount,
        recordsAtMembers: stores.reduce((sum, store) => sum + store.size, 0),
    });
    return client;
}

/** Prints the time of a lookup at another entry, one after the other. */
async function measureFinds(): Promise<void> {
    const view = new TestView(urls);
    view.versions = { chat: ["v1", "v2"] };
    const client = new StreamOriginClient(view, clients, silentLog, new Metrics());
    const { signal } = new AbortController();
    const startedAt = performance.now();
    const finds = 500;
    let found = 0;
    for (let i = 0; i < finds; i++) {
        const stream = streamOf(`two-0123456789abcdef-${i}`, { url: `/v1/chat/completions?session=${i}` });
        found += (await client.find(stream, signal)).kind === "known" ? 1 : 0;
    }
    console.log({ finds, found, findMs: (performance.now() - startedAt) / finds });
    client.close();
}

const messageBytes = (count: number) => {
    const versions = [{ softwareVersion: "v1", keys: new Uint8Array(16 * count) }];
    return toBinary(RecordRequestSchema, create(RecordRequestSchema, { versions })).length;
};
console.log({ messageBytesOfOne: messageBytes(1), messageBytesOfThousand: messageBytes(1000) });
// Kept until the end, so that memory is compared with the records in place.
const measured = [await measure(["v1"], "one"), await measure(["v1", "v2"], "two")];
await measureFinds();
measured.forEach(client => client.close());
clients.close();
await Promise.all(servers.map(server => server.close(100)));
