/** The operators' HTTP interface, with health checks and metrics. */
import { type TypeBoxTypeProvider } from "@fastify/type-provider-typebox";
import { Failure, FailureCode, messageOf, type Metrics } from "@winchpath/core";
import { type ChangeItem, type ChangeResult, type Declarations, type Kind, kinds } from "@winchpath/declarations";
import { type RpcClients, sameSecret } from "@winchpath/rpc";
import { JsonRenderer } from "@winchpath/timeline";
import fastify, { type FastifyReply } from "fastify";
import { Readable } from "node:stream";
import Type from "typebox";
import { commitChange, tryChange } from "./changes.js";
import { gatherEvents } from "./gathers.js";
import { openApiDocument } from "./openapi.js";
import { ChangeRequest, DeleteQuery, PutRequest } from "./schemas.js";
import { statusOf, type StatusParts } from "./statuses.js";
import { watchLines } from "./watches.js";

const readTimeoutMs = 2000;
const problemType = "application/problem+json";

export interface OperatorOptions extends StatusParts {
    readonly declarations: Declarations;
    readonly clients: RpcClients;
    readonly metrics: Metrics;
    /** Key that operators have to show; undefined only where settings say so. */
    readonly key: string | undefined;
    /** Empty where the process is ready for callers, otherwise why it is not. */
    readonly unready: () => string;
}

/** "models" for "Model". */
export function pluralOf(kind: Kind): string {
    return `${kind.toLowerCase()}s`;
}

const KindPath = Type.Object({ kind: Type.Union(kinds.map(kind => Type.Literal(pluralOf(kind)))) });
const ResourcePath = Type.Object({ ...KindPath.properties, name: Type.String() });

/** Builds the operators' server; it is not listening yet. */
export function operatorServer(options: OperatorOptions) {
    const app = newApp();
    app.setErrorHandler((err, _req, reply) => sendError(reply, err));
    app.addHook("onRequest", async req => {
        const open = !req.url.startsWith("/apis/");
        if (!open && options.key !== undefined && !sameSecret(req.headers.authorization, `Bearer ${options.key}`)) {
            throw Failure.of(FailureCode.unauthenticated, "the operators' key is missing or wrong");
        }
    });
    addHealth(app, options);
    addResources(app, options);
    addChanges(app, options);
    addViews(app, options);
    return app;
}

type App = ReturnType<typeof newApp>;

function newApp() {
    return fastify({ forceCloseConnections: "idle" }).withTypeProvider<TypeBoxTypeProvider>();
}

function addHealth(app: App, options: OperatorOptions): void {
    app.get("/healthz", () => ({ status: "alive" }));
    app.get("/readyz", (_req, reply) => {
        const reason = options.unready();
        return reply.code(reason === "" ? 200 : 503).send({ status: reason === "" ? "ready" : "not ready", reason });
    });
    app.get("/metrics", (_req, reply) => reply.type("text/plain; version=0.0.4").send(options.metrics.toText()));
    app.get("/openapi.json", () => openApiDocument());
}

/** Reads go through a majority: an operator never builds on what a cut-off host still believes. */
function addResources(app: App, { declarations, replica }: OperatorOptions): void {
    app.get("/apis/v1/:kind", { schema: { params: KindPath } }, async req => {
        await replica.barrier(readTimeoutMs);
        return { revision: declarations.revision, items: declarations.list(kindOf(req.params.kind)) };
    });
    app.get("/apis/v1/:kind/:name", { schema: { params: ResourcePath } }, async req => {
        await replica.barrier(readTimeoutMs);
        const { kind, name } = req.params;
        const resource = declarations.get(kindOf(kind), name);
        if (resource === undefined) {
            throw Failure.of(FailureCode.notFound, `there is no ${kindOf(kind)} ${name}`);
        }
        return resource;
    });
}

function addChanges(app: App, options: OperatorOptions): void {
    const { replica, declarations } = options;
    app.post("/apis/v1/changes", { schema: { body: ChangeRequest } }, async (req, reply) => {
        const { dryRun, ...change } = req.body;
        const result = dryRun ? tryChange(declarations, change) : await commitChange(replica, change);
        return sendResult(reply, result);
    });
    app.put("/apis/v1/:kind/:name", { schema: { params: ResourcePath, body: PutRequest } }, async (req, reply) => {
        const { changeId, operator, baseVersion, spec } = req.body;
        const kind = kindOf(req.params.kind);
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
                kind: kindOf(req.params.kind),
                name: req.params.name,
                baseVersion,
            };
            return sendResult(reply, await commitChange(replica, { changeId, operator, items: [item] }));
        },
    );
}

function addViews(app: App, options: OperatorOptions): void {
    app.get("/apis/v1/status", () => statusOf(options));
    const watchQuery = Type.Object({ from: Type.Optional(Type.Integer({ minimum: 0 })) });
    app.get("/apis/v1/watch", { schema: { querystring: watchQuery } }, (req, reply) => {
        const left = new AbortController();
        reply.raw.once("close", () => left.abort());
        const lines = watchLines(options.declarations, req.query.from, left.signal);
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
        const gathered = await gatherEvents(options.clients, members, options.registrar, {
            requestId,
            resource,
            host,
            limit,
        });
        const events = new JsonRenderer().render(gathered.events);
        return reply.type("application/json").send(
            `{"missing":${JSON.stringify(gathered.missing)},"events":${events}}`,
        );
    });
}

function kindOf(plural: string): Kind {
    return kinds.find(kind => pluralOf(kind) === plural)!;
}

function sendResult(reply: FastifyReply, result: ChangeResult) {
    if (result.tag === "accepted") {
        return reply.code(200).send(result);
    }
    const status = statusOfCode(result.issues[0].code);
    return reply.code(status).type(problemType).send({
        ...problemOf(result.issues[0].code, "The change was refused"),
        ...result,
    });
}

function sendError(reply: FastifyReply, err: unknown) {
    if (err instanceof Failure) {
        const { code, issues } = err;
        return reply.code(statusOfCode(code)).type(problemType).send({ ...problemOf(code, err.message), issues });
    }
    const status = (err as { statusCode?: number; }).statusCode ?? 500;
    const code = status < 500 ? FailureCode.invalid : FailureCode.outcomeUnknown;
    const issues = [{ code, path: [], message: messageOf(err) }];
    return reply.code(status).type(problemType).send({ ...problemOf(code, messageOf(err)), status, issues });
}

function problemOf(code: string, title: string) {
    return { type: `urn:winchpath:problem:${code}`, title, status: statusOfCode(code), code };
}

const statuses: Readonly<Record<string, number>> = {
    [FailureCode.invalid]: 422,
    [FailureCode.notFound]: 404,
    [FailureCode.conflict]: 409,
    [FailureCode.unauthenticated]: 401,
    [FailureCode.noLeader]: 503,
    [FailureCode.outcomeUnknown]: 503,
    [FailureCode.timeout]: 503,
    [FailureCode.stopping]: 503,
};

function statusOfCode(code: string): number {
    return statuses[code] ?? 500;
}
