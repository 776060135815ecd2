import { Code, type ConnectError } from "@connectrpc/connect";
import { Metrics, silentLog } from "@winchpath/core";
import { RpcClients, RpcServer } from "@winchpath/rpc";
import { Timeline } from "@winchpath/timeline";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { OriginRecordStore, StreamOriginClient, StreamOriginService, streamOriginService } from "../index.js";
import { streamOf, TestView } from "./testmembers.js";

describe("StreamOriginService", () => {
    const timeline = new Timeline({ process: "test", host: "h", dataCentre: "d" });
    const options = { key: undefined, timeline };
    const signal = new AbortController().signal;
    let store: OriginRecordStore;
    let server: RpcServer;
    let clients: RpcClients;
    let url: string;

    beforeEach(async () => {
        store = new OriginRecordStore(silentLog, new Metrics());
        server = await RpcServer.listen(
            { host: "127.0.0.1", port: 0 },
            router => router.service(StreamOriginService, streamOriginService(store)),
            options,
        );
        clients = new RpcClients(options);
        url = `http://127.0.0.1:${server.port}`;
    });
    afterEach(async () => {
        clients.close();
        await server.close(100);
    });

    function entry(): StreamOriginClient {
        const view = new TestView([url]);
        view.versions = { chat: ["v1", "v2", ""] };
        return new StreamOriginClient(view, clients, silentLog, new Metrics());
    }

    async function untilRecorded(count: number): Promise<void> {
        while (store.size < count) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    }

    it("carries records from one entry to another", async () => {
        const [first, second] = [entry(), entry()];
        first.record(streamOf("a"), "v2");
        first.record(streamOf("b"), "");
        await untilRecorded(2);
        expect(await second.find(streamOf("a"), signal)).toEqual({ kind: "known", softwareVersion: "v2" });
        expect(await second.find(streamOf("b"), signal)).toEqual({ kind: "known", softwareVersion: "" });
        expect(await second.find(streamOf("c"), signal)).toEqual({ kind: "unknown", reason: "not-found" });
        first.close();
        second.close();
    });

    it("rejects keys of a wrong length, long versions and large batches", async () => {
        const client = clients.client(StreamOriginService, url);
        const codeOf = (call: Promise<unknown>) => call.then(() => undefined, (err: ConnectError) => err.code);
        const key = new Uint8Array(16);
        expect(await codeOf(client.find({ keys: [new Uint8Array(15)] }))).toEqual(Code.InvalidArgument);
        expect(await codeOf(client.find({ keys: Array(1001).fill(key) }))).toEqual(Code.InvalidArgument);
        expect(await codeOf(client.record({ versions: [{ keys: new Uint8Array(17), softwareVersion: "v" }] })))
            .toEqual(Code.InvalidArgument);
        expect(await codeOf(client.record({ versions: [{ keys: key, softwareVersion: "v".repeat(257) }] })))
            .toEqual(Code.InvalidArgument);
        expect(await codeOf(client.record({ versions: [{ keys: new Uint8Array(16_016), softwareVersion: "v" }] })))
            .toEqual(Code.InvalidArgument);
        expect(store.size).toEqual(0);
    });
});
