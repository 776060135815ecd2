import { Code, ConnectError } from "@connectrpc/connect";
import { withTimeout } from "@winchpath/core";
import { Timeline, TimelineService, timelineService } from "@winchpath/timeline";
import { expect } from "earl";
import { once } from "node:events";
import { connect } from "node:http2";
import { type AddressInfo, connect as connectSocket, createServer, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { isSessionClosedError, RpcClients, RpcServer } from "../index.js";

const key = "a key of some length";
/** A client's connection preface, with an empty SETTINGS frame. */
const http2Preface = Buffer.concat([
    Buffer.from("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
    Buffer.from([0, 0, 0, 4, 0, 0, 0, 0, 0]),
]);

describe("RPC between processes", () => {
    const serverTimeline = new Timeline({ process: "server", host: "s", dataCentre: "d" });
    let server: RpcServer;
    let clients: RpcClients;
    beforeEach(async () => {
        server = await RpcServer.listen({ host: "127.0.0.1", port: 0 }, router => {
            router.service(TimelineService, timelineService(serverTimeline));
        }, { key, timeline: serverTimeline });
    });
    afterEach(async () => {
        clients.close();
        await server.close(100);
    });

    function call(withKey: string | undefined, timeline: Timeline) {
        clients = new RpcClients({ key: withKey, timeline });
        return clients.client(TimelineService, `http://127.0.0.1:${server.port}`).listEvents({});
    }

    for (const wrong of [undefined, "another key of that length"]) {
        it(`rejects a caller with ${wrong ?? "no key"}`, async () => {
            const timeline = new Timeline({ process: "client", host: "c", dataCentre: "d" });
            const code = await call(wrong, timeline).then(() => undefined, (err: ConnectError) => err.code);
            expect(code).toEqual(Code.Unauthenticated);
        });
    }

    // Guards against a process that ends by itself after it has not run for a while, or while a peer is silent.
    it("classifies only errors that end a session as a closed session", () => {
        expect(isSessionClosedError(new ConnectError("received GOAWAY without any open streams", Code.Canceled)))
            .toEqual(
                true,
            );
        expect(isSessionClosedError(new ConnectError("PING timed out", Code.Unavailable))).toEqual(true);
        expect(isSessionClosedError(new ConnectError("the operation timed out", Code.DeadlineExceeded))).toEqual(false);
        expect(isSessionClosedError(new ConnectError("no such thing", Code.NotFound))).toEqual(false);
        expect(isSessionClosedError(new Error("GOAWAY"))).toEqual(false);
    });

    for (const [what, body] of [["nothing", ""], ["a part", "\n"]]) {
        it(`rejects a request of whose message ${what} has arrived`, async () => {
            clients = new RpcClients({ key, timeline: serverTimeline });
            const session = connect(`http://127.0.0.1:${server.port}`);
            const stream = session.request({
                ":method": "POST",
                ":path": "/winchpath.timeline.v1.TimelineService/ListEvents",
                "content-type": "application/proto",
                "connect-protocol-version": "1",
                "authorization": `Bearer ${key}`,
                "winchpath-length": "12",
            });
            stream.end(Buffer.from(body));
            const [headers] = await once(stream, "response") as [Record<string, unknown>];
            expect(headers[":status"]).not.toEqual(200);
            stream.close();
            session.close();
        });
    }

    it("propagates the logical clock in both directions", async () => {
        const timeline = new Timeline({ process: "client", host: "c", dataCentre: "d" });
        timeline.observe(1000n);
        await call(key, timeline);
        serverTimeline.record("after the call");
        expect(serverTimeline.list().at(-1)!.clock > 1001n).toEqual(true);
        expect(timeline.tick() > 1002n).toEqual(true);
    });

    // Guards against calls that wait their whole time, for seconds, on a connection that has gone silent.
    it("uses another connection after a call to which nothing came on the present one", async () => {
        let isSilent = false;
        let connections = 0;
        const proxy = createServer(inbound => {
            connections += 1;
            const drops = isSilent;
            const outbound = connectSocket(server.port, "127.0.0.1");
            const relay = (from: Socket, to: Socket) => {
                from.on("data", chunk => (isSilent && !drops) || to.write(chunk));
                from.on("error", () => undefined);
                from.on("close", () => to.destroy());
            };
            relay(inbound, outbound);
            relay(outbound, inbound);
        });
        await once(proxy.listen(0, "127.0.0.1"), "listening");
        const url = `http://127.0.0.1:${(proxy.address() as AddressInfo).port}`;
        clients = new RpcClients({ key, timeline: serverTimeline });
        const callWithin = (timeoutMs: number) =>
            clients.client(TimelineService, url).listEvents({}, { timeoutMs }).then(() => "answered", () => "failed");
        try {
            expect(await callWithin(1000)).toEqual("answered");
            // Connections that are open now are silent for good; new ones work.
            isSilent = true;
            expect(await callWithin(200)).toEqual("failed");
            expect(await callWithin(1000)).toEqual("answered");
            expect(connections).toEqual(2);
        }
        finally {
            proxy.close();
        }
    });

    // Guards against a stopping process that stayed alive: one connection whose peer never closed it (FIN-WAIT-2).
    it("closes within its grace period if a peer never closes its connection", async () => {
        const other = await RpcServer.listen({ host: "127.0.0.1", port: 0 }, () => undefined, {
            key,
            timeline: serverTimeline,
        });
        const peer = connectSocket({ port: other.port, host: "127.0.0.1", allowHalfOpen: true });
        peer.write(http2Preface);
        await once(peer, "data");
        try {
            await withTimeout(other.close(50), 2000, "closing the server");
        }
        finally {
            peer.destroy();
        }
    });
});
