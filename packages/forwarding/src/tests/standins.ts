/** An upstream that answers as a test says, byte by byte, and an entry in one process. */
import { create } from "@bufbuild/protobuf";
import { AccountLimiter, Authenticator, type RevocationOptions } from "@winchpath/accounts";
import { Metrics, ratePerSecond, retryAfterMs, silentLog, steadyNow } from "@winchpath/core";
import { type Configuration, type EngineSpec, type Route } from "@winchpath/declarations";
import { DemandMeter, encodeUpstream, FleetView, type Upstream, UpstreamSchema, UpstreamState } from "@winchpath/fleet";
import { once } from "node:events";
import { type Agent, type ClientRequest, type IncomingMessage, request } from "node:http";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import {
    Admissions,
    CallerDoor,
    Forwarder,
    headerOf,
    type RequestCodec,
    valuesOf,
    withoutConnectionHeaders,
} from "../index.js";

/** Header names of these tests. */
export const testCodec: RequestCodec = {
    requestFacts: headers => ({
        id: headerOf(headers, "x-id"),
        key: headerOf(headers, "x-key"),
        limitTokens: undefined,
        deadlineMs: Number(headerOf(headers, "x-deadline") ?? 5000),
        model: headerOf(headers, "x-model") ?? "",
        adapter: headerOf(headers, "x-adapter") ?? "",
        promptTokens: 0,
        maxOutputTokens: 0,
        likelyOutputTokens: undefined,
        parts: [],
        resumeFrom: headerOf(headers, "last-event-id"),
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
    answerFacts: (status, headers) => ({
        id: headerOf(headers, "x-id"),
        sealed: headerOf(headers, "x-seal") !== undefined,
        notRun: headerOf(headers, "x-not-run") !== undefined,
        misdirected: status === 421,
        load: undefined,
        leaving: headerOf(headers, "x-leaving") === "1",
        restMs: status === 503 ? retryAfterMs(headerOf(headers, "retry-after")) : undefined,
        unknown: [],
        limitPerSecond: ratePerSecond(valuesOf(headers, "x-limit")),
    }),
};

/** What an upstream has got of one request. */
export interface Arrival {
    readonly id: string;
    readonly head: string;
    readonly body: string;
    readonly socket: Socket;
}

/** Speaks HTTP/1.1 in raw bytes. */
export class RawUpstream {
    public readonly arrivals: Arrival[] = [];
    private readonly sockets = new Set<Socket>();

    private constructor(private readonly server: Server) {}

    /** `answer` writes to the arrival's socket whatever the test wants. */
    public static async start(answer: (arrival: Arrival, count: number) => void): Promise<RawUpstream> {
        const server = createServer();
        const upstream = new RawUpstream(server);
        server.on("connection", socket => upstream.serve(socket, answer));
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

    private serve(socket: Socket, answer: (arrival: Arrival, count: number) => void): void {
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
            const arrival = { id, head, body: text.slice(end + 4, end + 4 + length), socket };
            text = text.slice(end + 4 + length);
            this.arrivals.push(arrival);
            answer(arrival, this.arrivals.length);
        });
    }
}

/** A whole answer of an upstream; `headers` end each with CRLF. */
export function wholeAnswer(id: string, body: string, headers = "", status = "200 OK"): string {
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

/** What a caller got. */
export interface CallerAnswer {
    readonly status: number;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
    /** Whether the answer ended as it should. */
    readonly whole: boolean;
}

const noTolerance = { windowMs: 0, overage: 0, slack: 0 };

/** An entry whose view a test fills by hand. */
export class TestEntry {
    public readonly view: FleetView<Configuration>;
    public readonly meter = new DemandMeter(silentLog);
    /** Suspects that were told, by upstream. */
    public readonly lost: { readonly upstream: string; readonly fingerprint: string; }[] = [];
    public readonly endedWell: string[] = [];
    public readonly forwarder: Forwarder;
    public readonly door: CallerDoor;
    public stopping = false;
    public readonly limiter = new AccountLimiter(noTolerance, () => undefined);
    private position = 0n;

    public constructor(
        private configuration: Configuration,
        slack = 10,
        revocation: RevocationOptions = { strict: false, withinMs: 0 },
    ) {
        this.view = new FleetView(() => this.configuration, silentLog);
        const admissions = new Admissions(new Authenticator(this.view, revocation), this.limiter);
        this.forwarder = new Forwarder({
            view: this.view,
            codec: testCodec,
            meter: this.meter,
            log: silentLog,
            metrics: new Metrics(),
            dataCentre: "d",
            budget: { ratio: 0.2, slack, windowMs: 10_000 },
            admissions,
            crashes: {
                lost: ({ id }, { fingerprint }) => this.lost.push({ upstream: id, fingerprint }),
                succeeded: fingerprint => this.endedWell.push(fingerprint),
            },
            stopping: () => this.stopping,
        });
        this.door = new CallerDoor({
            view: this.view,
            codec: testCodec,
            forwarder: this.forwarder,
            admissions,
            log: silentLog,
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
        await this.door.listen({ host: "127.0.0.1", port: 0 });
    }

    /** Puts upstreams into the view, as the leader would. */
    public learn(...upstreams: Partial<Upstream>[]): void {
        this.position += 1n;
        this.view.take({
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
            documentVersion: 1n,
            documentText: "{}",
            entries: 1,
            complete: false,
            controlUrls: [],
            waitedMs: 0,
            leads: false,
            fingerprintKey: Buffer.from("key of a test"),
            quarantinePosition: 0n,
            quarantineWhole: false,
            quarantined: [],
            unquarantined: [],
            quorumAgeMs: 0,
        }, steadyNow());
        this.door.refresh();
        this.forwarder.refresh();
    }

    /** Sends a request and reads what comes. */
    public call(
        id: string,
        options: { path?: string; method?: string; body?: string; headers?: object; agent?: Agent; } = {},
    ): Promise<CallerAnswer> {
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
            port: this.door.port,
            agent: options.agent ?? false,
            path: options.path ?? "/a/b?c=%41",
            method: options.method ?? "GET",
            headers: { Host: "h.example", "X-Id": id, ...options.headers },
        });
    }

    /** Waits until so many requests are being served. */
    public async untilOpen(count: number): Promise<void> {
        while (this.door.open < count) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    public async stop(): Promise<void> {
        await this.door.close(0);
        this.forwarder.close();
    }
}

type Answering = (arrival: Arrival, count: number) => void;

/** An entry and the upstreams of its one service, u0, u1 and so on, one for each of `answers`. */
export class TestStage {
    private constructor(public readonly entry: TestEntry, public readonly upstreams: readonly RawUpstream[]) {}

    /** `connections`: that an upstream takes; the configuration's usual number, where none is given. */
    public static async start(
        route: Partial<Route>,
        answers: readonly Answering[],
        connections?: number,
    ): Promise<TestStage> {
        const usual = TestEntry.configuration([testRoute(route)]);
        const services = connections === undefined ? usual.services : [{ name: "s", maxConnections: connections }];
        const entry = new TestEntry({ ...usual, services });
        await entry.start();
        const upstreams = await Promise.all(answers.map(answer => RawUpstream.start(answer)));
        entry.learn(...upstreams.map(({ address }, index) => ({ id: `u${index}`, address })));
        return new TestStage(entry, upstreams);
    }

    public async stop(): Promise<void> {
        await this.entry.stop();
        this.upstreams.forEach(upstream => upstream.stop());
    }
}
