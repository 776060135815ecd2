/** RPC clients for other processes of the system, with one HTTP/2 session per peer. */
import { type DescService } from "@bufbuild/protobuf";
import { type Client, createClient, type Transport } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { steadyNow } from "@winchpath/core";
import { type CallOutcome, FairTimeoutTransport } from "./fairtimeouts.js";
import { clientInterceptor, maxMessageBytes, type RpcOptions } from "./interceptors.js";

/** Time without traffic after which a ping checks the session, in milliseconds. */
const pingIntervalMs = 2000;
const pingTimeoutMs = 1500;
const idleTimeoutMs = 60_000;

interface PeerConnection {
    readonly sessions: Http2SessionManager;
    readonly transport: Transport;
    readonly clients: Map<string, unknown>;
    /** Number of unary calls without a result. */
    openCalls: number;
    /** Monotonic time of the last response to a unary call. */
    lastResponseAt: number;
    /** Whether there were streaming calls, which may still be open. */
    hasStreams: boolean;
}

/** Access to RPC clients by URL. */
export type PeerClients = Pick<RpcClients, "client" | "disconnect">;

/** Creates and caches RPC clients, with one session per URL. */
export class RpcClients {
    private readonly peers = new Map<string, PeerConnection>();
    /** Connections that new calls don't use any more, while calls on them are open. */
    private readonly replaced = new Set<PeerConnection>();

    public constructor(private readonly options: RpcOptions) {}

    /** Returns the client for a service of the process at `url`. */
    public client<S extends DescService>(service: S, url: string): Client<S> {
        const peer = this.connection(url);
        let client = peer.clients.get(service.typeName) as Client<S> | undefined;
        if (client === undefined) {
            client = createClient(service, peer.transport);
            peer.clients.set(service.typeName, client);
        }
        return client;
    }

    /** Aborts the session with one process; the next call opens another. */
    public disconnect(url: string): void {
        this.peers.get(url)?.sessions.abort();
        this.peers.delete(url);
    }

    /**
     * Opens another session for further calls if nothing has arrived on the present one since `since`, a monotonic time.
     * Calls that are open go on.
     */
    public retireSilent(url: string, since: number): void {
        const peer = this.peers.get(url);
        if (peer !== undefined && peer.lastResponseAt <= since) {
            this.replaced.add(peer);
            this.peers.delete(url);
        }
    }

    /** Aborts all sessions. */
    public close(): void {
        [...this.peers.keys()].forEach(url => this.disconnect(url));
        this.replaced.forEach(({ sessions }) => sessions.abort());
    }

    private connection(url: string): PeerConnection {
        let peer = this.peers.get(url);
        if (peer === undefined) {
            const sessions = new Http2SessionManager(url, {
                pingIntervalMs,
                pingTimeoutMs,
                idleConnectionTimeoutMs: idleTimeoutMs,
            });
            const transport = new FairTimeoutTransport(
                createConnectTransport({
                    baseUrl: url,
                    httpVersion: "2",
                    sessionManager: sessions,
                    readMaxBytes: maxMessageBytes,
                    interceptors: [clientInterceptor(this.options)],
                }),
                {
                    started: () => connection.openCalls++,
                    ended: outcome => this.callEnded(url, connection, outcome),
                    streamStarted: () => connection.hasStreams = true,
                },
            );
            const connection: PeerConnection = {
                sessions,
                transport,
                clients: new Map(),
                openCalls: 0,
                lastResponseAt: Number.NEGATIVE_INFINITY,
                hasStreams: false,
            };
            peer = connection;
            this.peers.set(url, peer);
        }
        return peer;
    }

    /**
     * Replaces a connection on which a call has timed out and nothing has arrived since it was sent: after packets were
     * dropped silently, an old connection may stay silent for seconds while new ones work.
     */
    private callEnded(url: string, peer: PeerConnection, { startedAt, responded, timedOut }: CallOutcome): void {
        peer.openCalls -= 1;
        if (responded) {
            peer.lastResponseAt = steadyNow();
        }
        if (timedOut && this.peers.get(url) === peer) {
            this.retireSilent(url, startedAt);
        }
        if (this.replaced.has(peer) && peer.openCalls === 0 && !peer.hasStreams) {
            // A client that was obtained before opens another one when it is used again.
            this.replaced.delete(peer);
            peer.sessions.abort();
        }
    }
}
