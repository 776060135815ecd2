/** Parses clients' HTTP requests into jobs. */
import { create } from "@bufbuild/protobuf";
import { newId, safeParse } from "@winchpath/core";
import { type Catalogue, type Model, type Target } from "@winchpath/declarations";
import { type RoutingTable } from "@winchpath/routing";
import { type Header, HeaderSchema } from "@winchpath/upstream";
import { type FastifyRequest } from "fastify";
import { createHash } from "node:crypto";
import Type from "typebox";
import { type Job } from "./jobs.js";
import { ProblemCode, RequestFailure } from "./problems.js";

const idempotencyKeyHeader = "idempotency-key";
const idempotentHeader = "winchpath-idempotent";
const timeoutHeader = "winchpath-timeout-ms";
const callerHeader = "winchpath-caller";
/** Header that carries the request ID to upstreams and clients. */
export const requestIdHeader = "winchpath-request-id";
/** Methods that HTTP defines as idempotent. */
const idempotentMethods = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);
/** Length of the first message's prefix used for cache affinity, in characters. */
const prefixLength = 256;
const okStatus = 200;
const maxKeyLength = 200;

const ChatRequest = Type.Object({
    model: Type.String({ minLength: 1 }),
    messages: Type.Array(Type.Object({ role: Type.String(), content: Type.Unknown() }), { minItems: 1 }),
    stream: Type.Optional(Type.Boolean()),
});

/** Deployment state needed for parsing. */
export interface ParseContext {
    readonly catalogue: () => Catalogue;
    readonly table: RoutingTable;
    /** Why a model cannot be placed until declarations or hardware change; undefined if it can. */
    readonly unplaceableReason: (model: Model) => string | undefined;
    readonly requestMs: number;
    readonly firstTokenMs: number;
}

/** Parses a chat completion in the OpenAI format. */
export function parseChat(req: FastifyRequest, signal: AbortSignal, context: ParseContext): Job {
    const body = parseJson(req.body as Buffer);
    const checked = safeParse(ChatRequest, body);
    if (checked.err) {
        throw new RequestFailure(ProblemCode.invalid, "not-run", checked.val.message);
    }
    const chat = checked.val;
    const target = findTarget(context, chat.model);
    return {
        ...commonJob(req, signal, context, true),
        resource: chat.model,
        demandName: target.model.name,
        method: "POST",
        path: "/v1/chat/completions",
        priority: target.model.priority,
        prefix: `${chat.model}/${digest(JSON.stringify(chat.messages[0]).slice(0, prefixLength))}`,
        requiresEndMarker: (status, headers) => status === okStatus && isEventStream(headers),
        bodyFor: item => Buffer.from(JSON.stringify({ ...chat, model: item })),
        replicas: () => context.table.replicasOf(chat.model),
        unplaceableReason: () => context.unplaceableReason(target.model),
        revision: () => context.catalogue().findTarget(chat.model)?.revision ?? 0,
    };
}

/** Parses a request to a plain service. */
export function parseServiceCall(req: FastifyRequest, signal: AbortSignal, context: ParseContext): Job {
    const { name, "*": rest } = req.params as { name: string; "*": string; };
    if (!context.catalogue().services.has(name)) {
        throw new RequestFailure(ProblemCode.unknownTarget, "not-run", `no service ${name} is declared`);
    }
    const common = commonJob(req, signal, context, idempotentMethods.has(req.method));
    const query = req.url.includes("?") ? req.url.slice(req.url.indexOf("?")) : "";
    const body = (req.body as Buffer | undefined) ?? Buffer.alloc(0);
    return {
        ...common,
        // Services have no time-to-first-byte target.
        startBy: common.deadline,
        resource: name,
        demandName: name,
        method: req.method,
        path: `/${rest}${query}`,
        priority: 5,
        prefix: undefined,
        requiresEndMarker: () => false,
        bodyFor: () => body,
        replicas: () => context.table.replicasOfService(name),
        unplaceableReason: () => undefined,
        revision: () => context.catalogue().services.get(name) ?? 0,
    };
}

function commonJob(req: FastifyRequest, signal: AbortSignal, context: ParseContext, mayRepeat: boolean) {
    const key = firstHeaderValue(req, idempotencyKeyHeader);
    if (key !== undefined && (key.length === 0 || key.length > maxKeyLength)) {
        throw new RequestFailure(
            ProblemCode.invalid,
            "not-run",
            `${idempotencyKeyHeader} has 1 to ${maxKeyLength} characters`,
        );
    }
    const caller = firstHeaderValue(req, callerHeader) ?? digest(firstHeaderValue(req, "authorization") ?? req.ip);
    const requestId = newId();
    const now = Date.now();
    const timeoutMs = requestTimeoutMs(req, context.requestMs);
    return {
        requestId,
        headers: [...headersOf(req), create(HeaderSchema, { name: requestIdHeader, value: requestId })],
        repeatable: mayRepeat && key === undefined && firstHeaderValue(req, idempotentHeader) !== "false",
        // Keys are scoped to the client.
        idempotencyKey: key === undefined ? undefined : `${caller}/${key}`,
        fingerprint: digest(`${req.method} ${req.url}\n${String((req.body as Buffer | undefined) ?? "")}`),
        caller,
        deadline: now + timeoutMs,
        startBy: now + Math.min(timeoutMs, context.firstTokenMs),
        signal,
    };
}

function findTarget(context: ParseContext, name: string): Target {
    const target = context.catalogue().findTarget(name);
    if (target === undefined) {
        throw new RequestFailure(ProblemCode.unknownTarget, "not-run", `no model or adapter ${name} is declared`);
    }
    return target;
}

function requestTimeoutMs(req: FastifyRequest, maxMs: number): number {
    const requested = firstHeaderValue(req, timeoutHeader);
    if (requested === undefined) {
        return maxMs;
    }
    if (!/^[1-9]\d{0,8}$/.test(requested)) {
        throw new RequestFailure(
            ProblemCode.invalid,
            "not-run",
            `${timeoutHeader} is a number of milliseconds`,
        );
    }
    return Math.min(maxMs, Number(requested));
}

function parseJson(body: Buffer | undefined): unknown {
    try {
        return JSON.parse((body ?? Buffer.alloc(0)).toString());
    }
    catch {
        throw new RequestFailure(ProblemCode.invalid, "not-run", "the body is not JSON");
    }
}

function headersOf(req: FastifyRequest): Header[] {
    return Object.entries(req.headers).flatMap(([name, value]) => {
        const values = Array.isArray(value) ? value : value === undefined ? [] : [value];
        return values.map(each => create(HeaderSchema, { name, value: each }));
    });
}

function firstHeaderValue(req: FastifyRequest, name: string): string | undefined {
    const value = req.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

function isEventStream(headers: readonly Header[]): boolean {
    return headers.some(({ name, value }) => name === "content-type" && value.startsWith("text/event-stream"));
}

function digest(text: string): string {
    return createHash("sha256").update(text).digest("base64url").slice(0, 22);
}
