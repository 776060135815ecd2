/** HTTP listener for clients. Reads and validates requests and passes them to the forwarder. */
import {
    type ConnectionLimits,
    type ConnectionPool,
    defaultConnectionLimits,
    guardHttpServer,
    ListenerWeight,
} from "@winchpath/connections";
import {
    breakOffResponse,
    ClientConnections,
    type EventLog,
    eventLoop,
    listenBacklog,
    type Metrics,
    Notifier,
    onClientGone,
    startFairTimer,
    steadyNow,
} from "@winchpath/core";
import { type Configuration, type ListenerLimits } from "@winchpath/declarations";
import { type FleetView } from "@winchpath/fleet";
import { type HeldRequest } from "@winchpath/hostload";
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { type AdmissionController, type Refusal } from "./admissioncontrollers.js";
import { connectionEndedReason } from "./attemptoutcomes.js";
import { type AllowedRequest, ConfigurationDecider } from "./configurationdecisions.js";
import { type ConfirmationPolicy } from "./confirmationpolicies.js";
import { type Forwarder } from "./forwarders.js";
import { type HeaderCodec, headerValue } from "./headercodecs.js";
import { type HostGuard } from "./hostguards.js";
import { type InboundRequest } from "./inboundrequests.js";
import { asksForAnotherEntry, LocalResponse, writeLocalResponse } from "./localresponses.js";
import { RouteTable, selectTarget, targetDraw } from "./routetables.js";
import { stoppingRetryMs } from "./shutdownchecks.js";

/** Header limit of the HTTP parser; the lower configured limit is checked afterwards. */
const maxParsedHeaderBytes = 256 * 1024;
/** Interval of the check for header timeouts, in milliseconds. */
const timeoutCheckMs = 500;
/** Retry-After while no configuration is known, in milliseconds. */
const unconfiguredRetryMs = 500;
/**
 * How long a request waits for the first configuration after startup, in milliseconds; covers a leader election and the
 * leader's first response. The client's only retry would come later.
 */
const configurationWaitMs = 400;
/** Time reserved for sending a response to the client, in milliseconds; clients are a few milliseconds away. */
const responseTransitMs = 20;
/** What a request brings, whatever the configuration says of it. */
type ReceivedRequest = Pick<
    InboundRequest,
    | "id"
    | "method"
    | "host"
    | "url"
    | "headers"
    | "body"
    | "metadata"
    | "startedAt"
    | "abortSignal"
    | "hasLaterRequest"
    | "wasMoved"
    | "wasSent"
>;

export interface ListenerDependencies {
    readonly view: FleetView<Configuration>;
    readonly codec: HeaderCodec;
    readonly forwarder: Forwarder;
    readonly admissions: AdmissionController;
    readonly confirmations: ConfirmationPolicy;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Acts on the load of this host; without it no host counts as loaded. */
    readonly hostGuard?: HostGuard;
    /** Bounds what connections cost the process; without it they are not bounded. */
    readonly connectionPool?: ConnectionPool;
    readonly stopping: () => boolean;
}

export class ClientListener {
    private readonly server = createServer({
        maxHeaderSize: maxParsedHeaderBytes,
        connectionsCheckingInterval: timeoutCheckMs,
        noDelay: true,
    }, (req, res) => void this.handle(req, res));
    private readonly connections = new ClientConnections(this.server);
    private readonly decider: ConfigurationDecider;
    private routeTable: RouteTable | undefined;
    private connectionLimits = defaultConnectionLimits;
    /** Notified when a configuration becomes available. */
    private readonly configured = new Notifier();
    private closeDeadline: number | undefined;

    public constructor(private readonly deps: ListenerDependencies) {
        deps.hostGuard?.watch(this.server);
        if (deps.connectionPool !== undefined) {
            guardHttpServer(this.server, deps.connectionPool, {
                name: "clients",
                weight: ListenerWeight.clients,
                forwards: true,
                limits: () => this.connectionLimits,
            });
        }
        this.decider = new ConfigurationDecider({ ...deps, routeTable: () => this.currentTable() });
    }

    public get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Number of requests whose responses have not been sent completely. */
    public get activeRequests(): number {
        return this.connections.pendingResponses;
    }

    /** Monotonic time at which the connections of clients are closed, whatever is pending; undefined before {@link close}. */
    public get closesAt(): number | undefined {
        return this.closeDeadline;
    }

    public async listen(address: { readonly host: string; readonly port: number; }): Promise<void> {
        this.server.listen(address.port, address.host, listenBacklog);
        await once(this.server, "listening");
    }

    /** Applies the current configuration of the fleet view. */
    public refresh(): void {
        const { configuration } = this.deps.view;
        if (configuration === undefined || configuration === this.routeTable?.configuration) {
            return;
        }
        this.routeTable = new RouteTable(configuration);
        this.configured.notify();
        const { headerTimeoutMs, idleTimeoutMs } = configuration.limits;
        this.server.headersTimeout = headerTimeoutMs;
        this.server.keepAliveTimeout = idleTimeoutMs;
        this.connectionLimits = connectionLimitsFor(configuration.limits);
        this.deps.hostGuard?.setConfiguration(configuration);
    }

    /** Routes of the latest configuration, of which there is one. */
    private currentTable(): RouteTable {
        this.refresh();
        return this.routeTable!;
    }

    /** Stops accepting connections and waits until all responses are sent, up to `graceMs`. */
    public async close(graceMs: number): Promise<void> {
        this.closeDeadline = steadyNow() + graceMs;
        const cut = await this.connections.close(this.closeDeadline);
        if (cut > 0) {
            this.deps.log.warn("requests.cut", { count: cut });
        }
        this.server.close();
    }

    private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const startedAt = steadyNow();
        const connection = this.connections.of(req.socket);
        if (!await connection.awaitTurn(res)) {
            this.recordUnanswerable(req);
            return;
        }
        const clientAbort = new AbortController();
        onClientGone(
            req,
            res,
            () => clientAbort.abort(connection.isClosedHere ? connectionEndedReason : undefined),
        );
        res.sendDate = false;
        const held = this.deps.hostGuard?.requestStarted(res, clientAbort);
        try {
            // The client may have left by now; its departure is read after its request.
            await eventLoop.departuresRead();
            let request = await this.admit(req, res, startedAt, clientAbort.signal, held);
            while (request !== undefined) {
                await this.deps.forwarder.serve(request, res);
                request = request.hasMoved ? await this.routeAgain(req, res, request) : undefined;
            }
        }
        catch (err) {
            this.deps.log.warn("request.crashed", { error: err instanceof Error ? err.stack : String(err) });
            breakOffResponse(res);
        }
        finally {
            if (req.socket.destroyed) {
                held?.release();
            }
            // Unread input would hold up the end of the connection.
            req.resume();
            if (clientAbort.signal.aborted) {
                // Output that the client will never take must not keep the connection open.
                res.destroy();
            }
        }
    }

    /** Reads and validates a request. Returns undefined if it has been answered here. */
    private async admit(
        req: IncomingMessage,
        res: ServerResponse,
        startedAt: number,
        abortSignal: AbortSignal,
        held: HeldRequest | undefined,
    ): Promise<InboundRequest | undefined> {
        const metadata = this.deps.codec.requestMetadata(req.rawHeaders);
        if (held !== undefined) {
            held.id = metadata.id;
        }
        if (abortSignal.aborted) {
            this.recordClientGone(metadata.id, "arrival");
            return undefined;
        }
        const limits = (this.routeTable ?? await this.waitForRoutes(startedAt))?.configuration.limits;
        const refuse = (response: LocalResponse, retryAfterMs?: number) => {
            this.refuse(req, res, metadata.id, { kind: "refused", response, retryAfterMs });
            return undefined;
        };
        const refuseFor = (refusal: Refusal) => {
            this.refuse(req, res, metadata.id, refusal);
            return undefined;
        };
        if (this.closeDeadline !== undefined) {
            // There may be too little time left before the shutdown.
            return refuse(LocalResponse.stopping, stoppingRetryMs);
        }
        if (limits === undefined) {
            return refuse(LocalResponse.unconfigured, unconfiguredRetryMs);
        }
        if (headerBytes(req.rawHeaders) > limits.headerBytes) {
            return refuse(LocalResponse.headersTooLarge);
        }
        const host = req.headers.host ?? "";
        const decision = await this.decider.decide({ host, url: req.url!, metadata });
        if (decision.kind === "refused") {
            return refuseFor(decision);
        }
        const body = await readBody(req, limits, held);
        if (abortSignal.aborted) {
            this.recordClientGone(metadata.id, "body");
            return undefined;
        }
        if (!Buffer.isBuffer(body)) {
            return refuse(body);
        }
        const received = {
            id: metadata.id ?? "",
            method: req.method!,
            host,
            url: req.url!,
            headers: req.rawHeaders,
            body,
            metadata,
            startedAt,
            abortSignal,
            hasLaterRequest: () => this.hasLaterRequest(req, res),
        };
        return this.route(req, res, received, decision);
    }

    /** Decides anew about a request that has moved. Returns undefined if it has been answered here. */
    private async routeAgain(
        req: IncomingMessage,
        res: ServerResponse,
        request: InboundRequest,
    ): Promise<InboundRequest | undefined> {
        const { id, host, url, metadata } = request;
        const decision = await this.decider.decide({ host, url, metadata });
        this.deps.log.info("request.routed-again", { request: id, configuration: this.deps.view.version });
        if (decision.kind === "refused") {
            this.refuse(req, res, metadata.id, decision);
            return undefined;
        }
        return this.route(req, res, { ...request, wasMoved: true }, decision);
    }

    /** Charges a request and selects its service. Returns undefined if it has been answered here. */
    private async route(
        req: IncomingMessage,
        res: ServerResponse,
        received: ReceivedRequest,
        { table, route, grant, version, confirmedAgeMs }: AllowedRequest,
    ): Promise<InboundRequest | undefined> {
        const { id, method, host, url, headers, body, metadata, startedAt, abortSignal } = received;
        const { hasLaterRequest, wasMoved, wasSent } = received;
        const charged = await this.deps.admissions.charge(grant, metadata);
        if (charged.kind === "refused") {
            this.refuse(req, res, metadata.id, charged);
            return undefined;
        }
        const waitMs = Math.min(route.timeoutMs, metadata.deadlineMs ?? route.timeoutMs);
        return {
            id,
            method,
            host,
            url,
            headers,
            body,
            metadata,
            route,
            service: selectTarget(route.targets, targetDraw(route, metadata)),
            priority: table.priorities.levelOf(route, grant?.priority),
            decidedByVersion: version,
            confirmedAgeMs,
            grant,
            charge: charged.charge,
            startedAt,
            deadlineAt: startedAt + Math.max(0, waitMs - responseTransitMs),
            abortSignal,
            hasLaterRequest,
            attemptedUpstreams: [],
            declinedUpstreams: new Set(),
            lostConnections: 0,
            lastEventId: undefined,
            responseStarted: false,
            wasMoved,
            wasSent,
        };
    }

    /** Records a request that is not handled because its connection can't carry a response any more. */
    private recordUnanswerable(req: IncomingMessage): void {
        const { id } = this.deps.codec.requestMetadata(req.rawHeaders);
        this.deps.metrics.count("requests_unanswerable_total");
        this.deps.log.warn("request.unanswerable", { request: id, path: req.url });
        req.resume();
    }

    /** Records a client that left before its request was passed to the forwarder. */
    private recordClientGone(id: string | undefined, stage: "arrival" | "body"): void {
        this.deps.metrics.count("callers_gone_total", { stage });
        this.deps.log.warn("request.caller-gone", { request: id, stage });
    }

    private hasLaterRequest(req: IncomingMessage, res: ServerResponse): boolean {
        return this.connections.hasLaterRequest(req.socket, res);
    }

    /** Waits for the first configuration; returns undefined after a timeout. */
    private async waitForRoutes(startedAt: number): Promise<RouteTable | undefined> {
        const deadline = startedAt + configurationWaitMs;
        while (this.routeTable === undefined && !this.deps.stopping() && steadyNow() < deadline) {
            await this.configured.wait(deadline - steadyNow());
        }
        return this.routeTable;
    }

    private refuse(
        req: IncomingMessage,
        res: ServerResponse,
        id: string | undefined,
        { response, retryAfterMs, details }: Refusal,
    ): void {
        this.deps.log.warn("request.own-answer", {
            request: id,
            status: response.status,
            reason: response.reason,
            host: headerValue(req.rawHeaders, "host"),
            path: req.url,
            configuration: this.deps.view.version,
            viewAgeMs: Math.round(this.deps.view.ageMs),
            confirmedAgeMs: Math.round(this.deps.view.confirmedAgeMs),
            loopDelayMs: eventLoop.delayMs,
            ...details,
        });
        // The unread rest of the body would be parsed as the next request.
        const bodyUnread = !req.complete;
        const mayClose = (this.deps.stopping() || asksForAnotherEntry(response)) && !this.hasLaterRequest(req, res);
        const close = bodyUnread || mayClose;
        writeLocalResponse(res, response, { retryAfterMs, close });
    }
}

function connectionLimitsFor(limits: ListenerLimits): ConnectionLimits {
    const { headerBytes, bodyBytes, headerTimeoutMs, idleTimeoutMs } = limits;
    return {
        ...defaultConnectionLimits,
        headerBytes,
        bodyBytes,
        headerTimeoutMs,
        // Bodies have this time when they are read here; one that isn't read may come later.
        requestTimeoutMs: 2 * idleTimeoutMs,
        unreadTimeoutMs: idleTimeoutMs,
    };
}

/** Reads the complete body, or returns the response if it is too large or too slow. */
async function readBody(
    req: IncomingMessage,
    limits: ListenerLimits,
    held: HeldRequest | undefined,
): Promise<Buffer | LocalResponse> {
    if (Number(req.headers["content-length"] ?? 0) > limits.bodyBytes) {
        return LocalResponse.bodyTooLarge;
    }
    const chunks: Buffer[] = [];
    let size = 0;
    const timer = startFairTimer(() => req.destroy(), limits.idleTimeoutMs);
    try {
        for await (const chunk of req.iterator({ destroyOnReturn: false })) {
            size += (chunk as Buffer).length;
            if (size > limits.bodyBytes) {
                return LocalResponse.bodyTooLarge;
            }
            held?.addBody((chunk as Buffer).length);
            chunks.push(chunk as Buffer);
        }
    }
    catch {
        // The client has disconnected or was too slow, so the response is not delivered.
        return LocalResponse.bodyLate;
    }
    finally {
        timer.cancel();
    }
    return Buffer.concat(chunks);
}

function headerBytes(headers: readonly string[]): number {
    const overhead = 2;
    return headers.reduce((sum, part) => sum + part.length + overhead, 0);
}
