/** An upstream with scripted raw responses, and an entry in the same process. */
import { create } from "@bufbuild/protobuf";
import { AccountLimiter, Authenticator, type RevocationOptions } from "@winchpath/accounts";
import { Metrics, ratePerSecond, retryAfterMs, silentLog, steadyNow } from "@winchpath/core";
import { type Configuration, type EngineSpec, type Route } from "@winchpath/declarations";
import { DemandMeter, encodeUpstream, FleetView, type Upstream, UpstreamSchema, UpstreamState } from "@winchpath/fleet";
import { type TrialDecision } from "@winchpath/quarantine";
import { RetryBudgetTable } from "@winchpath/retries";
import { once } from "node:events";
import { type Agent, type ClientRequest, type IncomingMessage, request } from "node:http";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import {
    AdmissionController,
    ClientListener,
    ConfirmationPolicy,
    Forwarder,
    type ForwarderDependencies,
    type HeaderCodec,
    headerValue,
    headerValues,
    type ResponseMetadata,
    withoutConnectionHeaders,
} from "../index.js";

/** Maps metadata to simple header names. */
export const testCodec: HeaderCodec = {
    requestMetadata: headers => ({
        id: headerValue(headers, "x-id"),
        apiKey: headerValue(headers, "x-key"),
        limitTokens: undefined,
        deadlineMs: Number(headerValue(headers, "x-deadline") ?? 5000),
        model: headerValue(headers, "x-model") ?? "",
        adapter: headerValue(headers, "x-adapter") ?? "",
        promptTokens: 0,
        maxOutputTokens: 0,
        expectedOutputTokens: undefined,
        promptParts: [],
        resumeFrom: headerValue(headers, "last-event-id"),
        resumedId: headerValue(headers, "x-resumes"),
    }),
    forwardHeaders: (headers, facts) => [
        ...withoutConnectionHeaders(headers).flatMap((part, index, all) =>
            index % 2 === 0 && part.toLowerCase() !== "content-length" ? [part, all[index + 1]] : []
        ),
        "X-Upstream",
        facts.upstream,
        ...(facts.account === undefined ? [] : ["X-Account", facts.account]),
        "X-Left",
        String(facts.deadlineMs),
        ...(facts.resumeFrom === undefined ? [] : ["Last-Event-Id", facts.resumeFrom]),
    ],
    responseMetadata: (status, headers) => ({
        id: headerValue(headers, "x-id"),
        sealed: headerValue(headers, "x-seal") !== undefined,
        notExecuted: headerValue(headers, "x-not-run") !== undefined,
        misdirected: status === 421,
        failed: status >= 500,
        load: reportedLoad(headerValue(headers, "x-pace")),
        leaving: headerValue(headers, "x-leaving") === "1",
        restMs: status === 503 ? retryAfterMs(headerValue(headers, "retry-after")) : undefined,
        unknownHeaders: [],
        limitPerSecond: ratePerSecond(headerValues(headers, "x-limit")),
    }),
};

/** Parses the pace of an idle upstream, in percent. */
function reportedLoad(percent: string | undefined): ResponseMetadata["load"] {
    return percent === undefined
        ? undefined
        : { running: 0, waiting: 0, slots: 8, durationPercent: Number(percent) };
}

/** A request as received by an upstream. */
export interface ReceivedRequest {
    readonly id: string;
    readonly head: string;
    readonly body: string;
    readonly socket: Socket;
}

/** An HTTP/1.1 server whose responses are raw bytes. */
export class RawUpstream {
    public readonly received: ReceivedRequest[] = [];
    /** Connections that were ever opened to it. */
    public connectionCount = 0;
    private readonly sockets = new Set<Socket>();

    private constructor(private readonly server: Server) {}

    /** `handler` writes the response to the request's socket. */
    public static async start(handler: (received: ReceivedRequest, count: number) => void): Promise<RawUpstream> {
        const server = createServer();
        const upstream = new RawUpstream(server);
        server.on("connection", socket => upstream.serve(socket, handler));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        return upstream;
    }

    public get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    public stop(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    /** Stops, but leaves a connection open, as if it had gone silent before. */
    public stopSilently(kept: Socket): void {
        this.sockets.delete(kept);
        this.stop();
        this.sockets.add(kept);
    }

    private serve(socket: Socket, handler: (received: ReceivedRequest, count: number) => void): void {
        this.connectionCount += 1;
        this.sockets.add(socket);
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("error", () => undefined);
        let text = "";
        socket.on("data", chunk => {
            text += chunk.toString("latin1");
            const end = text.indexOf("\r\n\r\n");
            if (end === -1) {
                return;
            }
            const head = text.slice(0, end);
            const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
            if (text.length < end + 4 + length) {
                return;
            }
            const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
            const received = { id, head, body: text.slice(end + 4, end + 4 + length), socket };
            text = text.slice(end + 4 + length);
            this.received.push(received);
            handler(received, this.received.length);
        });
    }
}

/** Formats a complete response; each of `headers` ends with CRLF. */
export function completeResponse(id: string, body: string, headers = "", status = "200 OK"): string {
    return `HTTP/1.1 ${status}\r\nX-Id: ${id}\r\nX-Seal: s\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`;
}

export function testRoute(values: Partial<Route>): Route {
    return {
        name: "r",
        host: "h.example",
        prefix: "/",
        kind: "safe",
        timeoutMs: 3000,
        objectiveMs: 1000,
        pauseMs: 0,
        priority: 1,
        maxAttempts: 2,
        sticky: false,
        resumable: false,
        targets: [{ service: "s", weight: 1 }],
        ...values,
    };
}

/** A response as received by a client. */
export interface ClientResponse {
    readonly status: number;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
    /** Whether the response ended regularly. */
    readonly whole: boolean;
}

const exactLimits = { windowMs: 0, overage: 0, slack: 0 };

/** Budgets with this many slots for the service of the tests, as if the leader had leased them to this entry alone. */
export function createRetryBudgets(slack: number, metrics: Metrics): RetryBudgetTable {
    const budgets = new RetryBudgetTable({
        bound: () => ({ ratio: 0.2, slack, windowMs: 10_000 }),
        services: () => ["s"],
        requestReport: () => undefined,
        log: silentLog,
        metrics,
    });
    const lease = { term: 1, lifeMs: Number.POSITIVE_INFINITY, services: [{ service: "s", slots: slack }] };
    budgets.applyGrants(lease, 0);
    return budgets;
}

/** An entry whose fleet view is set by the test. */
export class TestEntry {
    public readonly view: FleetView<Configuration>;
    public readonly meter = new DemandMeter(silentLog);
    /** Reported suspects, by upstream. */
    public readonly crashReports: { readonly upstream: string; readonly fingerprint: string; }[] = [];
    public readonly successReports: string[] = [];
    /** Number of upstreams lost under each request. */
    public readonly lossCounts = new Map<string, number>();
    /** Requests that were retried after a loss. */
    private readonly retriedFingerprints = new Set<string>();
    /** The leader's decision on trials; undefined if no leader answers. */
    public trialDecision: TrialDecision | undefined = "granted";
    public readonly startedTrials: string[] = [];
    public readonly endedTrials: string[] = [];
    public readonly forwarder: Forwarder;
    public readonly listener: ClientListener;
    public readonly metrics = new Metrics();
    /** Has slots for as long as the test runs. */
    public readonly retryBudgets: RetryBudgetTable;
    /** Confirms every configuration at once by default. */
    public readonly confirmer = { confirm: async (_timeoutMs: number) => true, isCutOff: false };
    public stopping = false;
    public readonly limiter = new AccountLimiter(exactLimits, () => undefined);
    private position = 0n;
    private documentVersion = 1n;

    public constructor(
        private configuration: Configuration,
        slack = 10,
        revocation: RevocationOptions = { strict: false, withinMs: 0 },
        overrides: Pick<
            ForwarderDependencies,
            "accountShares" | "hostGuard" | "isCapacityContended" | "minDrainMs" | "sendAttempt" | "streamOrigins"
        > = {},
        configurationApplyMs = Number.POSITIVE_INFINITY,
    ) {
        this.view = new FleetView(() => this.configuration, silentLog);
        this.retryBudgets = createRetryBudgets(slack, this.metrics);
        const admissions = new AdmissionController(new Authenticator(this.view, revocation), this.limiter);
        this.forwarder = new Forwarder({
            view: this.view,
            codec: testCodec,
            meter: this.meter,
            log: silentLog,
            metrics: this.metrics,
            dataCentre: "d",
            retryBudgets: this.retryBudgets,
            admissions,
            crashReporter: {
                lost: ({ id }, { fingerprint }) => this.recordLoss(id, fingerprint),
                succeeded: fingerprint => this.successReports.push(fingerprint),
                lossCount: fingerprint => this.lossCounts.get(fingerprint) ?? 0,
                hasLosses: true,
                hasLossOfSize: () => this.lossCounts.size > 0,
                hasRepeatedLoss: candidates => candidates.some(feature => (this.lossCounts.get(feature) ?? 0) >= 2),
                hasReported: () => true,
                tryRetry: ({ fingerprint }) =>
                    (this.lossCounts.get(fingerprint) ?? 0) <= 1 && this.takeFreeRetry(fingerprint)
                        ? "granted"
                        : "denied",
                startTrial: async ({ trial }) => {
                    this.startedTrials.push(trial);
                    return this.trialDecision;
                },
                endTrial: trial => this.endedTrials.push(trial),
            },
            stopping: () => this.stopping,
            closesAt: () => this.listener.closesAt,
            ...overrides,
        });
        this.listener = new ClientListener({
            view: this.view,
            codec: testCodec,
            forwarder: this.forwarder,
            admissions,
            confirmations: new ConfirmationPolicy(this.view, this.confirmer, configurationApplyMs),
            log: silentLog,
            metrics: this.metrics,
            hostGuard: overrides.hostGuard,
            stopping: () => this.stopping,
        });
    }

    public static configuration(routes: readonly Route[], engine?: EngineSpec): Configuration {
        return {
            version: 1,
            routes: [...routes],
            services: [{ name: "s", maxConnections: 64, ...(engine === undefined ? {} : { engine }) }],
            limits: { headerBytes: 4096, bodyBytes: 65536, headerTimeoutMs: 2000, idleTimeoutMs: 5000 },
        };
    }

    public async start(): Promise<void> {
        await this.listener.listen({ host: "127.0.0.1", port: 0 });
    }

    /** Puts another configuration in force, as the leader would with a new version. */
    public replaceConfiguration(configuration: Configuration): void {
        this.configuration = configuration;
        this.documentVersion += 1n;
        this.setUpstreams();
    }

    /** Updates upstreams in the fleet view in place of the leader. */
    public setUpstreams(...upstreams: Partial<Upstream>[]): void {
        this.position += 1n;
        this.view.apply({
            $typeName: "winchpath.fleet.v1.PollResponse",
            notLeader: false,
            leaderUrl: "",
            epoch: "1",
            position: this.position,
            changed: upstreams.map(values =>
                encodeUpstream(create(UpstreamSchema, {
                    service: "s",
                    slots: 8,
                    dataCentre: "d",
                    state: UpstreamState.READY,
                    name: values.id ?? "",
                    ...values as object,
                }))
            ),
            removed: [],
            left: [],
            departures: [],
            term: 1n,
            admission: [],
            documentVersion: this.documentVersion,
            documentText: "{}",
            documentAgeMs: 0,
            entries: 1,
            complete: false,
            controlUrls: [],
            waitedMs: 0,
            leads: false,
            fingerprintKey: Buffer.from("key of a test"),
            softwareVersionsKnown: false,
            softwareVersionPosition: 0n,
            softwareVersionsListed: false,
            softwareVersions: [],
            quarantinePosition: 0n,
            quarantineWhole: false,
            quarantined: [],
            unquarantined: [],
            quorumAgeMs: 0,
        }, steadyNow());
        this.listener.refresh();
        this.forwarder.refresh();
    }

    private recordLoss(upstream: string, fingerprint: string): void {
        this.crashReports.push({ upstream, fingerprint });
        this.lossCounts.set(fingerprint, (this.lossCounts.get(fingerprint) ?? 0) + 1);
    }

    private takeFreeRetry(fingerprint: string): boolean {
        const isFree = !this.retriedFingerprints.has(fingerprint);
        this.retriedFingerprints.add(fingerprint);
        return isFree;
    }

    /** Sends a request and reads the complete response. */
    public call(
        id: string,
        options: { path?: string; method?: string; body?: string; headers?: object; agent?: Agent; } = {},
    ): Promise<ClientResponse> {
        return new Promise((resolve, reject) => {
            const req = this.open(id, options);
            req.on("error", reject);
            req.on("response", res => {
                const chunks: Buffer[] = [];
                res.on("data", chunk => chunks.push(chunk as Buffer));
                res.on("error", () => undefined);
                res.on("close", () =>
                    resolve({
                        status: res.statusCode!,
                        headers: res.headers,
                        body: Buffer.concat(chunks).toString(),
                        whole: res.complete,
                    }));
            });
            req.end(options.body);
        });
    }

    /** Opens a request without ending it. */
    public open(
        id: string,
        options: { path?: string; method?: string; headers?: object; agent?: Agent; } = {},
    ): ClientRequest {
        return request({
            host: "127.0.0.1",
            port: this.listener.port,
            agent: options.agent ?? false,
            path: options.path ?? "/a/b?c=%41",
            method: options.method ?? "GET",
            headers: { Host: "h.example", "X-Id": id, ...options.headers },
        });
    }

    /** Waits until that many requests are in progress. */
    public async waitForActiveRequests(count: number): Promise<void> {
        while (this.listener.activeRequests < count) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    public async stop(): Promise<void> {
        await this.listener.close(0);
        this.forwarder.close();
    }
}

type RequestHandler = (received: ReceivedRequest, count: number) => void;

/** An entry with one service and its upstreams u0, u1 and so on, one for each handler. */
export class TestSetup {
    private constructor(public readonly entry: TestEntry, public readonly upstreams: readonly RawUpstream[]) {}

    /**
     * `connections`: maximum connections to an upstream; `slack`: retries allowed beyond a share of the requests;
     * `minDrainMs`: time for which upstreams go on serving after they have announced that they drain.
     */
    public static async start(
        route: Partial<Route>,
        handlers: readonly RequestHandler[],
        connections?: number,
        slack?: number,
        minDrainMs?: number,
    ): Promise<TestSetup> {
        const defaults = TestEntry.configuration([testRoute(route)]);
        const services = connections === undefined ? defaults.services : [{ name: "s", maxConnections: connections }];
        const entry = new TestEntry({ ...defaults, services }, slack, undefined, { minDrainMs });
        await entry.start();
        const upstreams = await Promise.all(handlers.map(handler => RawUpstream.start(handler)));
        entry.setUpstreams(...upstreams.map(({ address }, index) => ({ id: `u${index}`, address })));
        return new TestSetup(entry, upstreams);
    }

    public async stop(): Promise<void> {
        await this.entry.stop();
        this.upstreams.forEach(upstream => upstream.stop());
    }
}
