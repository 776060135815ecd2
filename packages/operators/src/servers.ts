/** HTTP server for operators, with health checks and metrics. */
import { type TypeBoxTypeProvider } from "@fastify/type-provider-typebox";
import { type ConnectionPool, guardHttpServer, ListenerWeight } from "@winchpath/connections";
import { Failure, FailureCode, messageOf, type Metrics } from "@winchpath/core";
import { type ChangeItem, type ChangeResult, type Declarations, type Kind, kinds } from "@winchpath/declarations";
import { type RpcClients, secretsEqual } from "@winchpath/rpc";
import { JsonRenderer } from "@winchpath/timeline";
import fastify, { type FastifyReply } from "fastify";
import { Readable } from "node:stream";
import Type from "typebox";
import { commitChange, dryRunChange } from "./changes.js";
import { collectEvents } from "./eventcollectors.js";
import { openApiDocument } from "./openapi.js";
import { ChangeRequest, DeleteQuery, PutRequest } from "./schemas.js";
import { collectStatus, type StatusSources } from "./statuses.js";
import { watchLines } from "./watches.js";

const readTimeoutMs = 2000;
const problemType = "application/problem+json";

export interface OperatorServerOptions extends StatusSources {
    readonly declarations: Declarations;
    readonly clients: RpcClients;
    readonly metrics: Metrics;
    /** Bearer token required of operators; undefined disables authentication. */
    readonly key: string | undefined;
    /** Why the process is not ready; empty if it is ready. */
    readonly unready: () => string;
    /** Bounds what connections cost the process; without it they are not bounded. */
    readonly connectionPool?: ConnectionPool;
}

/** Plural of a kind in URL paths, such as "models" for "Model". */
export function pluralName(kind: Kind): string {
    return `${kind.toLowerCase()}s`;
}

const KindPath = Type.Object({ kind: Type.Union(kinds.map(kind => Type.Literal(pluralName(kind)))) });
const ResourcePath = Type.Object({ ...KindPath.properties, name: Type.String() });

/** Creates the server; the caller starts listening. */
export function createOperatorServer(options: OperatorServerOptions) {
    const app = createApp();
    app.setErrorHandler((err, _req, reply) => sendError(reply, err));
    app.addHook("onRequest", async req => {
        const isPublic = !req.url.startsWith("/apis/");
        if (
            !isPublic && options.key !== undefined && !secretsEqual(req.headers.authorization, `Bearer ${options.key}`)
        ) {
            throw Failure.of(FailureCode.unauthenticated, "the operators' key is missing or wrong");
        }
    });
    addHealthRoutes(app, options);
    addResourceRoutes(app, options);
    addChangeRoutes(app, options);
    addStatusRoutes(app, options);
    if (options.connectionPool !== undefined) {
        guardHttpServer(app.server, options.connectionPool, { name: "operators", weight: ListenerWeight.operators });
    }
    return app;
}

/** Stops listening, waits up to `graceMs` for running requests, then closes all connections, such as those of watches. */
export async function closeOperatorServer(
    app: ReturnType<typeof createOperatorServer>,
    graceMs: number,
): Promise<void> {
    const timer = setTimeout(() => app.server.closeAllConnections(), graceMs);
    await app.close();
    clearTimeout(timer);
}

type App = ReturnType<typeof createApp>;

function createApp() {
    return fastify({ forceCloseConnections: "idle" }).withTypeProvider<TypeBoxTypeProvider>();
}

function addHealthRoutes(app: App, options: OperatorServerOptions): void {
    app.get("/healthz", () => ({ status: "alive" }));
    app.get("/readyz", (_req, reply) => {
        const reason = options.unready();
        return reply.code(reason === "" ? 200 : 503).send({ status: reason === "" ? "ready" : "not ready", reason });
    });
    app.get("/metrics", (_req, reply) => reply.type("text/plain; version=0.0.4").send(options.metrics.toText()));
    app.get("/openapi.json", () => openApiDocument());
}

/** Reads are linearizable, so that operators never see stale declarations from a partitioned host. */
function addResourceRoutes(app: App, { declarations, replica }: OperatorServerOptions): void {
    app.get("/apis/v1/:kind", { schema: { params: KindPath } }, async req => {
        await replica.barrier(readTimeoutMs);
        return { revision: declarations.revision, items: declarations.list(kindFromPlural(req.params.kind)) };
    });
    app.get("/apis/v1/:kind/:name", { schema: { params: ResourcePath } }, async req => {
        await replica.barrier(readTimeoutMs);
        const { kind, name } = req.params;
        const resource = declarations.get(kindFromPlural(kind), name);
        if (resource === undefined) {
            throw Failure.of(FailureCode.notFound, `there is no ${kindFromPlural(kind)} ${name}`);
        }
        return resource;
    });
}

function addChangeRoutes(app: App, options: OperatorServerOptions): void {
    const { replica, declarations } = options;
    app.post("/apis/v1/changes", { schema: { body: ChangeRequest } }, async (req, reply) => {
        const { dryRun, ...change } = req.body;
        const result = dryRun ? dryRunChange(declarations, change) : await commitChange(replica, change);
        return sendResult(reply, result);
    });
    app.put("/apis/v1/:kind/:name", { schema: { params: ResourcePath, body: PutRequest } }, async (req, reply) => {
        const { changeId, operator, baseVersion, spec } = req.body;
        const kind = kindFromPlural(req.params.kind);
        const item: ChangeItem = { op: "put", kind, name: req.params.name, baseVersion, spec };
        return sendResult(reply, await commitChange(replica, { changeId, operator, items: [item] }));
    });
    app.delete(
        "/apis/v1/:kind/:name",
        { schema: { params: ResourcePath, querystring: DeleteQuery } },
        async (req, reply) => {
            const { changeId, operator, baseVersion } = req.query;
            const item: ChangeItem = {
                op: "delete",
                kind: kindFromPlural(req.params.kind),
                name: req.params.name,
                baseVersion,
            };
            return sendResult(reply, await commitChange(replica, { changeId, operator, items: [item] }));
        },
    );
}

function addStatusRoutes(app: App, options: OperatorServerOptions): void {
    app.get("/apis/v1/status", () => collectStatus(options));
    const watchQuery = Type.Object({ from: Type.Optional(Type.Integer({ minimum: 0 })) });
    app.get("/apis/v1/watch", { schema: { querystring: watchQuery } }, (req, reply) => {
        const disconnected = new AbortController();
        reply.raw.once("close", () => disconnected.abort());
        const lines = watchLines(options.declarations, req.query.from, disconnected.signal);
        return reply.type("application/x-ndjson").send(Readable.from(lines));
    });
    const timelineQuery = Type.Object({
        request: Type.Optional(Type.String()),
        resource: Type.Optional(Type.String()),
        host: Type.Optional(Type.String()),
        limit: Type.Optional(Type.Integer({ minimum: 1 })),
    });
    app.get("/apis/v1/timeline", { schema: { querystring: timelineQuery } }, async (req, reply) => {
        const { request: requestId, resource, host, limit } = req.query;
        const members = options.replica.state.membership?.members ?? [];
        const collected = await collectEvents(options.clients, members, options.registrar, {
            requestId,
            resource,
            host,
            limit,
        });
        const events = new JsonRenderer().render(collected.events);
        return reply.type("application/json").send(
            `{"missing":${JSON.stringify(collected.missing)},"events":${events}}`,
        );
    });
}

function kindFromPlural(plural: string): Kind {
    return kinds.find(kind => pluralName(kind) === plural)!;
}

function sendResult(reply: FastifyReply, result: ChangeResult) {
    if (result.tag === "accepted") {
        return reply.code(200).send(result);
    }
    const status = httpStatusFor(result.issues[0].code);
    return reply.code(status).type(problemType).send({
        ...createProblem(result.issues[0].code, "The change was refused"),
        ...result,
    });
}

function sendError(reply: FastifyReply, err: unknown) {
    if (err instanceof Failure) {
        const { code, issues } = err;
        return reply.code(httpStatusFor(code)).type(problemType).send({ ...createProblem(code, err.message), issues });
    }
    const status = (err as { statusCode?: number; }).statusCode ?? 500;
    const code = status < 500 ? FailureCode.invalid : FailureCode.outcomeUnknown;
    const issues = [{ code, path: [], message: messageOf(err) }];
    return reply.code(status).type(problemType).send({ ...createProblem(code, messageOf(err)), status, issues });
}

function createProblem(code: string, title: string) {
    return { type: `urn:winchpath:problem:${code}`, title, status: httpStatusFor(code), code };
}

const httpStatuses: Readonly<Record<string, number>> = {
    [FailureCode.invalid]: 422,
    [FailureCode.notFound]: 404,
    [FailureCode.conflict]: 409,
    [FailureCode.unauthenticated]: 401,
    [FailureCode.noLeader]: 503,
    [FailureCode.outcomeUnknown]: 503,
    [FailureCode.timeout]: 503,
    [FailureCode.stopping]: 503,
};

function httpStatusFor(code: string): number {
    return httpStatuses[code] ?? 500;
}
