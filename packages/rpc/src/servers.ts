/** RPC server for other processes of the system: Connect over HTTP/2. */
import { type ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { type ConnectionPool, guardHttp2Server, ListenerWeight, maxConcurrentCalls } from "@winchpath/connections";
import { Failure, FailureCode, listenBacklog } from "@winchpath/core";
import { once } from "node:events";
import { createServer, type ServerHttp2Session } from "node:http2";
import { type AddressInfo, type Socket } from "node:net";
import { maxMessageBytes, type RpcOptions, serverInterceptor } from "./interceptors.js";

/** Address to listen on; port 0 selects a free port. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** A listening RPC server. */
export class RpcServer {
    private readonly sessions = new Set<ServerHttp2Session>();
    private readonly sockets = new Set<Socket>();

    private constructor(private readonly server: ReturnType<typeof createServer>) {
        server.on("connection", (socket: Socket) => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
        server.on("session", session => {
            this.sessions.add(session);
            session.once("close", () => this.sessions.delete(session));
        });
    }

    /** `pool`: bounds the connections of the process; without it they are not bounded. */
    public static async listen(
        address: ListenAddress,
        routes: (router: ConnectRouter) => void,
        options: RpcOptions,
        pool?: ConnectionPool,
    ): Promise<RpcServer> {
        const interceptors = [serverInterceptor(options)];
        const adapter = connectNodeAdapter({ routes, interceptors, readMaxBytes: maxMessageBytes });
        const server = createServer({ settings: { maxConcurrentStreams: maxConcurrentCalls } }, adapter);
        const rpcServer = new RpcServer(server);
        if (pool !== undefined) {
            guardHttp2Server(server, pool, { name: "peers", weight: ListenerWeight.peers });
        }
        server.listen(address.port, address.host, listenBacklog);
        await once(server, "listening").catch((err: Error) => {
            throw Failure.of(
                FailureCode.unreachable,
                `cannot listen on ${address.host}:${address.port}: ${err.message}`,
            );
        });
        return rpcServer;
    }

    /** The port in use. */
    public get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Stops listening, waits up to `graceMs` for running calls, then destroys the remaining sessions and connections. */
    public async close(graceMs: number): Promise<void> {
        const closed = once(this.server, "close");
        this.server.close();
        this.sessions.forEach(session => session.close());
        const timer = setTimeout(() => this.destroyAll(), graceMs);
        await closed;
        clearTimeout(timer);
    }
    private destroyAll(): void {
        this.sessions.forEach(session => session.destroy());
        // A session that was closed gracefully waits for its peer to close the connection, also after `destroy`.
        this.sockets.forEach(socket => socket.destroy());
    }
}
