/** HTTP server for clients. */
import { type ConnectionPool, defaultConnectionLimits, guardHttpServer, ListenerWeight } from "@winchpath/connections";
import { ClientConnections, eventLoop, messageOf, onClientGone, steadyNow } from "@winchpath/core";
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from "fastify";
import { once } from "node:events";
import { type AddressInfo } from "node:net";
import { type RequestHandler } from "./handlers.js";
import { type Job, type ResponseEvent } from "./jobs.js";
import { ProblemCode, problemDetails, RequestFailure, retryAfterSeconds } from "./problems.js";
import { parseChat, type ParseContext, parseServiceCall, requestIdHeader } from "./requestparsers.js";

const problemType = "application/problem+json";

export interface ClientServerOptions extends ParseContext {
    readonly handler: RequestHandler;
    readonly bodyBytes: number;
    readonly headerBytes: number;
    /** Bounds what connections cost the process; without it they are not bounded. */
    readonly connectionPool?: ConnectionPool;
    /** Time in which a client takes something of a response, in milliseconds. */
    readonly unreadMs?: number;
}

/** Serves clients over HTTP. */
export class ClientServer {
    private readonly app: FastifyInstance;
    private readonly connections: ClientConnections;
    private isStopping = false;

    public constructor(options: ClientServerOptions) {
        this.app = createApp(options);
        this.connections = new ClientConnections(this.app.server);
        this.app.addHook("onRequest", (req, reply) => this.awaitTurn(req, reply));
        addRoutes(this.app, options);
        guardConnections(this.app, options);
    }

    public async listen(address: { readonly host: string; readonly port: number; }): Promise<void> {
        await this.app.listen(address);
    }

    public get port(): number {
        return (this.app.server.address() as AddressInfo).port;
    }

    /** From now on responses announce the close of their connections. */
    public prepareClose(): void {
        this.isStopping = true;
    }

    /** Stops accepting connections and waits until all responses are sent, up to `graceMs`. Resolves to how many were cut. */
    public async close(graceMs: number): Promise<number> {
        this.prepareClose();
        const cut = await this.connections.close(steadyNow() + graceMs);
        await this.app.close();
        return cut;
    }

    /** Drops a request whose connection can't carry its response any more. */
    private async awaitTurn(req: FastifyRequest, reply: FastifyReply): Promise<void> {
        if (!await this.connections.of(req.raw.socket).awaitTurn(reply.raw)) {
            reply.hijack();
            req.raw.resume();
            return;
        }
        if (this.isStopping) {
            reply.raw.shouldKeepAlive = false;
        }
    }
}

function createApp(options: ClientServerOptions): FastifyInstance {
    const app = fastify({
        bodyLimit: options.bodyBytes,
        http: { maxHeaderSize: options.headerBytes },
        forceCloseConnections: "idle",
        return503OnClosing: false,
    });
    app.removeAllContentTypeParsers();
    app.addContentTypeParser("*", { parseAs: "buffer" }, async (_req: FastifyRequest, body: Buffer) => body);
    app.setErrorHandler((err, req, reply) => sendProblem(reply, failureOf(err), req.id));
    app.setNotFoundHandler((req, reply) => sendProblem(reply, notFound(req), req.id));
    return app;
}

function guardConnections(app: FastifyInstance, options: ClientServerOptions): void {
    const { connectionPool, headerBytes, bodyBytes, unreadMs = defaultConnectionLimits.unreadTimeoutMs } = options;
    if (connectionPool !== undefined) {
        const limits = { ...defaultConnectionLimits, headerBytes, bodyBytes, unreadTimeoutMs: unreadMs };
        guardHttpServer(app.server, connectionPool, {
            name: "clients",
            weight: ListenerWeight.clients,
            limits: () => limits,
        });
    }
}

function addRoutes(app: FastifyInstance, options: ClientServerOptions): void {
    app.get("/v1/models", () => listModels(options));
    app.post("/v1/chat/completions", (req, reply) => respond(options, req, reply, parseChat));
    app.all("/services/:name/*", (req, reply) => respond(options, req, reply, parseServiceCall));
}

type Parse = (req: FastifyRequest, signal: AbortSignal, context: ParseContext) => Job;

/** Runs one request and streams its response to the client. */
async function respond(
    options: ClientServerOptions,
    req: FastifyRequest,
    reply: FastifyReply,
    parse: Parse,
): Promise<void> {
    const disconnected = new AbortController();
    onClientGone(req.raw, reply.raw, () => disconnected.abort());
    const job = parse(req, disconnected.signal, options);
    const events = options.handler.handle(job);
    try {
        await rejectIfGone(job);
        const first = await events.next();
        reply.hijack();
        writeHead(reply, first.value, job.requestId);
        for await (const event of events) {
            await writeBody(reply, event, disconnected.signal);
        }
        reply.raw.end();
    }
    catch (err) {
        sendFailure(reply, failureOf(err), job.requestId);
    }
}

/** Rejects a request whose client has left by now, unless its idempotency key promises that it is run. */
async function rejectIfGone(job: Job): Promise<void> {
    // The departure is read after the request.
    await eventLoop.departuresRead();
    if (job.signal.aborted && job.idempotencyKey === undefined) {
        throw new RequestFailure(ProblemCode.callerLeft, "not-run", "the caller left before its request was run");
    }
}

function writeHead(reply: FastifyReply, event: ResponseEvent | void, requestId: string): void {
    if (event?.tag !== "head") {
        throw new RequestFailure(ProblemCode.upstreamLost, "unknown", "the answer has no head");
    }
    for (const { name, value } of event.headers) {
        reply.raw.appendHeader(name, value);
    }
    reply.raw.setHeader(requestIdHeader, requestId);
    reply.raw.writeHead(event.status);
}

/** Applies backpressure: waits for the client to drain the socket. */
async function writeBody(reply: FastifyReply, event: ResponseEvent, disconnected: AbortSignal): Promise<void> {
    if (event.tag === "body" && !reply.raw.write(event.bytes)) {
        await once(reply.raw, "drain", { signal: disconnected }).catch(() => undefined);
    }
}

/** Sends problem details; once headers are sent, closes the connection so that a partial response does not look complete. */
function sendFailure(reply: FastifyReply, failure: RequestFailure, requestId: string): void {
    if (reply.raw.headersSent) {
        reply.raw.destroy();
        return;
    }
    const text = JSON.stringify(problemDetails(failure, requestId));
    reply.hijack();
    if (failure.retryAfterMs !== undefined) {
        reply.raw.setHeader("retry-after", retryAfterSeconds(failure.retryAfterMs));
    }
    reply.raw.setHeader(requestIdHeader, requestId);
    reply.raw.writeHead(failure.status, { "content-type": problemType });
    reply.raw.end(text);
}

function sendProblem(reply: FastifyReply, failure: RequestFailure, requestId: string): void {
    if (failure.retryAfterMs !== undefined) {
        void reply.header("retry-after", retryAfterSeconds(failure.retryAfterMs));
    }
    void reply.code(failure.status).type(problemType).send(JSON.stringify(problemDetails(failure, requestId)));
}

function failureOf(err: unknown): RequestFailure {
    if (err instanceof RequestFailure) {
        return err;
    }
    const { code = "" } = err as { code?: string; };
    if (code === "FST_ERR_CTP_BODY_TOO_LARGE") {
        return new RequestFailure(ProblemCode.tooLarge, "not-run", messageOf(err));
    }
    // Fastify rejects malformed requests before any handler runs.
    return code.startsWith("FST_ERR_")
        ? new RequestFailure(ProblemCode.invalid, "not-run", messageOf(err))
        : new RequestFailure(ProblemCode.internal, "unknown", messageOf(err));
}

function notFound(req: FastifyRequest): RequestFailure {
    return new RequestFailure(ProblemCode.unknownTarget, "not-run", `nothing is served at ${req.method} ${req.url}`);
}

function listModels(options: ClientServerOptions) {
    const data = options.catalogue().targetNames().map(id => ({ id, object: "model", owned_by: "winchpath" }));
    return { object: "list", data };
}
