/** The callers' HTTP interface. */
import { messageOf } from "@winchpath/core";
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from "fastify";
import { once } from "node:events";
import { type RequestHandler } from "./handlers.js";
import { type AnswerEvent, type Job } from "./jobs.js";
import { parseChat, type ParseContext, parseServiceCall, requestIdHeader } from "./parsers.js";
import { ProblemCode, problemDetails, RequestFailure, retryAfterSeconds } from "./problems.js";

const problemType = "application/problem+json";

export interface CallerOptions extends ParseContext {
    readonly handler: RequestHandler;
    readonly bodyBytes: number;
    readonly headerBytes: number;
    readonly connections: number;
}

/** Builds the callers' server; it is not listening yet. */
export function callerServer(options: CallerOptions): FastifyInstance {
    const app = fastify({
        bodyLimit: options.bodyBytes,
        http: { maxHeaderSize: options.headerBytes },
        forceCloseConnections: "idle",
        return503OnClosing: false,
    });
    app.server.maxConnections = options.connections;
    app.removeAllContentTypeParsers();
    app.addContentTypeParser("*", { parseAs: "buffer" }, async (_req: FastifyRequest, body: Buffer) => body);
    app.setErrorHandler((err, req, reply) => sendProblem(reply, failureOf(err), req.id));
    app.setNotFoundHandler((req, reply) => sendProblem(reply, notFound(req), req.id));
    app.get("/v1/models", () => listModels(options));
    app.post("/v1/chat/completions", (req, reply) => answer(options, req, reply, parseChat));
    app.all("/services/:name/*", (req, reply) => answer(options, req, reply, parseServiceCall));
    return app;
}

type Parse = (req: FastifyRequest, signal: AbortSignal, context: ParseContext) => Job;

/** The task of one request: from the job's events onto the caller's connection. */
async function answer(options: CallerOptions, req: FastifyRequest, reply: FastifyReply, parse: Parse): Promise<void> {
    const left = new AbortController();
    reply.raw.once("close", () => {
        // An abort after the end would only cost time.
        if (!reply.raw.writableFinished) {
            left.abort();
        }
    });
    const job = parse(req, left.signal, options);
    const events = options.handler.handle(job);
    try {
        const first = await events.next();
        reply.hijack();
        writeHead(reply, first.value, job.requestId);
        for await (const event of events) {
            await writeBody(reply, event, left.signal);
        }
        reply.raw.end();
    }
    catch (err) {
        endInFailure(reply, failureOf(err), job.requestId);
    }
}

function writeHead(reply: FastifyReply, event: AnswerEvent | void, requestId: string): void {
    if (event?.tag !== "head") {
        throw new RequestFailure(ProblemCode.upstreamLost, "unknown", "the answer has no head");
    }
    for (const { name, value } of event.headers) {
        reply.raw.appendHeader(name, value);
    }
    reply.raw.setHeader(requestIdHeader, requestId);
    reply.raw.writeHead(event.status);
}

/** Waits for a slow reader, so that nothing piles up here. */
async function writeBody(reply: FastifyReply, event: AnswerEvent, left: AbortSignal): Promise<void> {
    if (event.tag === "body" && !reply.raw.write(event.bytes)) {
        await once(reply.raw, "drain", { signal: left }).catch(() => undefined);
    }
}

/** Before the head a failure is told; after it the connection is cut, so that a part can't pass for the whole. */
function endInFailure(reply: FastifyReply, failure: RequestFailure, requestId: string): void {
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
    // Fastify refuses what it can't read before any handler runs.
    return code.startsWith("FST_ERR_")
        ? new RequestFailure(ProblemCode.invalid, "not-run", messageOf(err))
        : new RequestFailure(ProblemCode.internal, "unknown", messageOf(err));
}

function notFound(req: FastifyRequest): RequestFailure {
    return new RequestFailure(ProblemCode.unknownTarget, "not-run", `nothing is served at ${req.method} ${req.url}`);
}

function listModels(options: CallerOptions) {
    const data = options.catalogue().targetNames().map(id => ({ id, object: "model", owned_by: "winchpath" }));
    return { object: "list", data };
}
