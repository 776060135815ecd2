/**
 * The listener for callers. It reads paths, headers and bodies as they are
 * written, and hands each request to the forwarder.
 */
import { type EventLog, listenBacklog, Notifier, sleep, steadyNow } from "@winchpath/core";
import { type Configuration, type ListenerLimits } from "@winchpath/declarations";
import { type FleetView } from "@winchpath/fleet";
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { type Admissions, type Refusal } from "./admissions.js";
import { OwnAnswer, writeOwnAnswer } from "./answers.js";
import { headerOf, type RequestCodec } from "./codecs.js";
import { type Forwarder } from "./forwarders.js";
import { type Job } from "./jobs.js";
import { drawTarget, RouteTable } from "./routetables.js";

/** Largest headers that are read at all; the configured bound is checked behind it. */
const parserHeaderBytes = 256 * 1024;
/** How often connections that are too slow are looked for, in milliseconds. */
const slowCheckMs = 500;
/** When to come back while no configuration is known. */
const unconfiguredRetryMs = 500;
/**
 * A request that comes right after the start waits this long for the configuration, in milliseconds: a little
 * more than an election and the first answer of the leader take. Its caller's one return would come later.
 */
const configurationWaitMs = 400;
/** A final answer takes this long on its way, in milliseconds: callers are a few milliseconds away. */
const answerTripMs = 20;
/** When to come back, to another entry, from one that stops. */
const stoppingRetryMs = 50;
/** How often a stopping listener closes connections that have become idle, in milliseconds. */
const idleCheckMs = 50;

export interface DoorParts {
    readonly view: FleetView<Configuration>;
    readonly codec: RequestCodec;
    readonly forwarder: Forwarder;
    readonly admissions: Admissions;
    readonly log: EventLog;
    readonly stopping: () => boolean;
}

export class CallerDoor {
    private readonly server = createServer({
        maxHeaderSize: parserHeaderBytes,
        connectionsCheckingInterval: slowCheckMs,
        noDelay: true,
    }, (req, res) => void this.take(req, res));
    private table: RouteTable | undefined;
    /** Notified when routes are known. */
    private readonly configured = new Notifier();
    private requests = 0;
    private closing = false;

    public constructor(private readonly parts: DoorParts) {}

    public get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Requests that are being served. */
    public get open(): number {
        return this.requests;
    }

    public async listen(address: { readonly host: string; readonly port: number; }): Promise<void> {
        this.server.listen(address.port, address.host, listenBacklog);
        await once(this.server, "listening");
    }

    /** Follows the configuration that the view holds now. */
    public refresh(): void {
        const { configuration } = this.parts.view;
        if (configuration === undefined || configuration === this.table?.configuration) {
            return;
        }
        this.table = new RouteTable(configuration);
        this.configured.notify();
        const { headerTimeoutMs, idleTimeoutMs } = configuration.limits;
        this.server.headersTimeout = headerTimeoutMs;
        this.server.keepAliveTimeout = idleTimeoutMs;
    }

    /** Takes no new connections, and returns once what runs has ended or the time has passed. */
    public async close(graceMs: number): Promise<void> {
        const deadline = steadyNow() + graceMs;
        this.closing = true;
        this.server.close();
        while (this.requests > 0 && steadyNow() < deadline) {
            this.server.closeIdleConnections();
            await sleep(idleCheckMs);
        }
        this.server.closeIdleConnections();
        if (this.requests > 0) {
            this.parts.log.warn("requests.cut", { count: this.requests });
        }
        this.server.closeAllConnections();
    }

    private async take(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const startedAt = steadyNow();
        const gone = new AbortController();
        res.once("close", () => gone.abort());
        // An answer that began before the stop has promised to keep its connection: it is not kept all the same.
        res.once("finish", () => this.parts.stopping() && req.socket.end());
        res.sendDate = false;
        this.requests += 1;
        try {
            const job = await this.admit(req, res, startedAt, gone.signal);
            if (job !== undefined) {
                await this.parts.forwarder.serve(job, res);
            }
        }
        catch (err) {
            this.parts.log.warn("request.crashed", { error: err instanceof Error ? err.stack : String(err) });
            res.destroy();
        }
        finally {
            this.requests -= 1;
        }
    }

    /** Reads and checks a request; answers it here where it goes no further. */
    private async admit(
        req: IncomingMessage,
        res: ServerResponse,
        startedAt: number,
        gone: AbortSignal,
    ): Promise<Job | undefined> {
        const facts = this.parts.codec.requestFacts(req.rawHeaders);
        const table = this.table ?? await this.firstTable(startedAt);
        const refuse = (answer: OwnAnswer, retryAfterMs?: number) => {
            this.refuse(req, res, facts.id, { kind: "refused", answer, retryAfterMs });
            return undefined;
        };
        const refuseFor = (refusal: Refusal) => {
            this.refuse(req, res, facts.id, refusal);
            return undefined;
        };
        if (this.closing) {
            // There may not be time for it; another entry has that.
            return refuse(OwnAnswer.stopping, stoppingRetryMs);
        }
        if (table === undefined) {
            return refuse(OwnAnswer.unconfigured, unconfiguredRetryMs);
        }
        const { limits } = table.configuration;
        if (headerBytes(req.rawHeaders) > limits.headerBytes) {
            return refuse(OwnAnswer.headersTooLarge);
        }
        const route = table.match(req.headers.host ?? "", req.url!);
        if (route === undefined) {
            return refuse(OwnAnswer.unrouted);
        }
        const identified = this.parts.admissions.identify(route, facts);
        if (identified.kind === "refused") {
            return refuseFor(identified);
        }
        const { grant } = identified;
        const body = await readBody(req, limits);
        if (gone.aborted) {
            return undefined;
        }
        if (!Buffer.isBuffer(body)) {
            return refuse(body);
        }
        const charged = await this.parts.admissions.charge(grant, facts);
        if (charged.kind === "refused") {
            return refuseFor(charged);
        }
        const waitMs = Math.min(route.timeoutMs, facts.deadlineMs ?? route.timeoutMs);
        return {
            id: facts.id ?? "",
            method: req.method!,
            host: req.headers.host ?? "",
            url: req.url!,
            headers: req.rawHeaders,
            body,
            facts,
            route,
            service: drawTarget(route.targets, Math.random()),
            priority: table.priorities.levelOf(route, grant?.priority),
            grant,
            charge: charged.charge,
            startedAt,
            deadlineAt: startedAt + Math.max(0, waitMs - answerTripMs),
            gone,
            tried: [],
            declined: new Set(),
            lost: 0,
            lastEventId: undefined,
            answerStarted: false,
        };
    }

    /** The routes, once they are known; undefined where they are not in time. */
    private async firstTable(startedAt: number): Promise<RouteTable | undefined> {
        const deadline = startedAt + configurationWaitMs;
        while (this.table === undefined && !this.parts.stopping() && steadyNow() < deadline) {
            await this.configured.wait(deadline - steadyNow());
        }
        return this.table;
    }

    private refuse(
        req: IncomingMessage,
        res: ServerResponse,
        id: string | undefined,
        { answer, retryAfterMs, details }: Refusal,
    ): void {
        this.parts.log.warn("request.own-answer", {
            request: id,
            status: answer.status,
            reason: answer.reason,
            host: headerOf(req.rawHeaders, "host"),
            path: req.url,
            configuration: this.parts.view.version,
            viewAgeMs: Math.round(this.parts.view.ageMs),
            ...details,
        });
        // What is left of a body that was not read would be taken for the next request.
        const unread = !req.complete;
        const close = unread || this.parts.stopping() || answer === OwnAnswer.unconfirmed;
        writeOwnAnswer(res, answer, { retryAfterMs, close });
    }
}

/** Reads a body whole, or gives the answer where it is too large or too slow. */
async function readBody(req: IncomingMessage, limits: ListenerLimits): Promise<Buffer | OwnAnswer> {
    if (Number(req.headers["content-length"] ?? 0) > limits.bodyBytes) {
        return OwnAnswer.bodyTooLarge;
    }
    const chunks: Buffer[] = [];
    let size = 0;
    const timer = setTimeout(() => req.destroy(), limits.idleTimeoutMs);
    try {
        for await (const chunk of req.iterator({ destroyOnReturn: false })) {
            size += (chunk as Buffer).length;
            if (size > limits.bodyBytes) {
                return OwnAnswer.bodyTooLarge;
            }
            chunks.push(chunk as Buffer);
        }
    }
    catch {
        // The caller is gone, or was too slow; there is nobody left to answer.
        return OwnAnswer.bodyLate;
    }
    finally {
        clearTimeout(timer);
    }
    return Buffer.concat(chunks);
}

function headerBytes(headers: readonly string[]): number {
    const overhead = 2;
    return headers.reduce((sum, part) => sum + part.length + overhead, 0);
}
