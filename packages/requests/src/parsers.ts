/** Makes jobs of callers' HTTP requests. */
import { create } from "@bufbuild/protobuf";
import { newIdentity, safeParse } from "@winchpath/core";
import { type Catalogue, type Model, type Target } from "@winchpath/declarations";
import { type RoutingTable } from "@winchpath/routing";
import { type Header, HeaderSchema } from "@winchpath/upstream";
import { type FastifyRequest } from "fastify";
import { createHash } from "node:crypto";
import Type from "typebox";
import { type Job } from "./jobs.js";
import { ProblemCode, RequestFailure } from "./problems.js";

const keyHeader = "idempotency-key";
const idempotentHeader = "winchpath-idempotent";
const timeoutHeader = "winchpath-timeout-ms";
const callerHeader = "winchpath-caller";
/** Header by which upstreams learn the request id. */
export const requestIdHeader = "winchpath-request-id";
/** Methods that HTTP defines as idempotent. */
const idempotentMethods = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);
/** Characters of the first message by which prompts are told apart for caching. */
const prefixLength = 256;
const okStatus = 200;
const maxKeyLength = 200;

const ChatRequest = Type.Object({
    model: Type.String({ minLength: 1 }),
    messages: Type.Array(Type.Object({ role: Type.String(), content: Type.Unknown() }), { minItems: 1 }),
    stream: Type.Optional(Type.Boolean()),
});

/** What parsing needs to know of the deployment. */
export interface ParseContext {
    readonly catalogue: () => Catalogue;
    readonly table: RoutingTable;
    /** Why a model can't be placed until declarations or hardware change; undefined where it can. */
    readonly unplaceable: (model: Model) => string | undefined;
    readonly requestMs: number;
    readonly firstTokenMs: number;
}

/** A chat completion in the OpenAI form. */
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
        demandOf: target.model.name,
        method: "POST",
        path: "/v1/chat/completions",
        priority: target.model.priority,
        prefix: `${chat.model}/${digest(JSON.stringify(chat.messages[0]).slice(0, prefixLength))}`,
        endsWithMark: (status, headers) => status === okStatus && isEventStream(headers),
        bodyFor: item => Buffer.from(JSON.stringify({ ...chat, model: item })),
        replicas: () => context.table.replicasOf(chat.model),
        unplaceable: () => context.unplaceable(target.model),
        revision: () => context.catalogue().target(chat.model)?.revision ?? 0,
    };
}

/** A call of a plain service. */
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
        // A service has no target for its first byte.
        startBy: common.deadline,
        resource: name,
        demandOf: name,
        method: req.method,
        path: `/${rest}${query}`,
        priority: 5,
        prefix: undefined,
        endsWithMark: () => false,
        bodyFor: () => body,
        replicas: () => context.table.replicasOfService(name),
        unplaceable: () => undefined,
        revision: () => context.catalogue().services.get(name) ?? 0,
    };
}

function commonJob(req: FastifyRequest, signal: AbortSignal, context: ParseContext, mayRepeat: boolean) {
    const key = oneHeader(req, keyHeader);
    if (key !== undefined && (key.length === 0 || key.length > maxKeyLength)) {
        throw new RequestFailure(ProblemCode.invalid, "not-run", `${keyHeader} has 1 to ${maxKeyLength} characters`);
    }
    const caller = oneHeader(req, callerHeader) ?? digest(oneHeader(req, "authorization") ?? req.ip);
    const requestId = newIdentity();
    const now = Date.now();
    const timeoutMs = timeoutOf(req, context.requestMs);
    return {
        requestId,
        headers: [...headersOf(req), create(HeaderSchema, { name: requestIdHeader, value: requestId })],
        repeatable: mayRepeat && key === undefined && oneHeader(req, idempotentHeader) !== "false",
        // A key is one caller's own.
        idempotencyKey: key === undefined ? undefined : `${caller}/${key}`,
        fingerprint: digest(`${req.method} ${req.url}\n${String((req.body as Buffer | undefined) ?? "")}`),
        caller,
        deadline: now + timeoutMs,
        startBy: now + Math.min(timeoutMs, context.firstTokenMs),
        signal,
    };
}

function findTarget(context: ParseContext, name: string): Target {
    const target = context.catalogue().target(name);
    if (target === undefined) {
        throw new RequestFailure(ProblemCode.unknownTarget, "not-run", `no model or adapter ${name} is declared`);
    }
    return target;
}

function timeoutOf(req: FastifyRequest, mostMs: number): number {
    const asked = oneHeader(req, timeoutHeader);
    if (asked === undefined) {
        return mostMs;
    }
    if (!/^[1-9]\d{0,8}$/.test(asked)) {
        throw new RequestFailure(ProblemCode.invalid, "not-run", `${timeoutHeader} is a number of milliseconds`);
    }
    return Math.min(mostMs, Number(asked));
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

function oneHeader(req: FastifyRequest, name: string): string | undefined {
    const value = req.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

function isEventStream(headers: readonly Header[]): boolean {
    return headers.some(({ name, value }) => name === "content-type" && value.startsWith("text/event-stream"));
}

function digest(text: string): string {
    return createHash("sha256").update(text).digest("base64url").slice(0, 22);
}
