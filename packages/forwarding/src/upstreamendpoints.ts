/** Connections of an entry to one upstream, and an estimate of the upstream's load. */
import { eventLoop, steadyNow } from "@winchpath/core";
import { type Upstream } from "@winchpath/fleet";
import { refusesConnections } from "@winchpath/quarantine";
import { Pool } from "undici";
import { ConnectionMonitor, upstreamConnector } from "./connectors.js";
import { type ReportedLoad } from "./headercodecs.js";

/** Timeout for establishing a connection, in milliseconds; round trips take a few at most. */
const connectTimeoutMs = 400;
/** How long idle connections are kept if the upstream does not send a keep-alive timeout. */
const keepAliveMs = 20_000;
/**
 * Idle connections are closed this long before the upstream does, to avoid sending requests on a closing connection.
 */
const keepAliveMarginMs = 700;
/** Time over which a load report from the upstream decays to zero. */
const reportLifetimeMs = 2500;

/**
 * An upstream is known to run if something was read from it on an open connection within this time, in milliseconds. A
 * connection that has gone silent is taken for a sign of life for no longer.
 */
const signOfLifeMs = 100;

/** Slowdown of prompt processing by each running request, in prompt tokens. */
const tokensPerRunningRequest = 80;

/** A request in flight at an upstream. */
export interface TrackedRequest {
    /** Prompt tokens to process before the first event, including the request's own. */
    readonly tokensAhead: number;
    /** Records that the prompt has been processed and a response has started. */
    readonly markPromptRead: () => void;
    readonly finish: () => void;
}

export class UpstreamEndpoint {
    public readonly id: string;
    public readonly connections = new ConnectionMonitor();
    private running = 0;
    private runningTokens = 0;
    private runningBytes = 0;
    /** Monotonic start times of the requests without a response, the oldest first. */
    private readonly unansweredStarts: number[] = [];
    private lastAnswerAt = Number.NEGATIVE_INFINITY;
    /** Unprocessed prompt tokens of this entry's requests, by priority. */
    private readonly unreadTokens = new Map<number, number>();
    private othersRunning = 0;
    private othersWaiting = 0;
    private reportedAt = Number.NEGATIVE_INFINITY;
    private current: Upstream;
    private openedPool: Pool | undefined;

    public constructor(upstream: Upstream, private readonly maxConnections: number) {
        this.id = upstream.id;
        this.current = upstream;
    }

    /** Connection pool, created on first use because an entry of a large fleet uses few upstreams. */
    public get pool(): Pool {
        this.openedPool ??= this.openPool();
        return this.openedPool;
    }

    /**
     * Replaces the connection pool after a connection went silent without a reset, since other idle connections may be
     * dead too. Running requests continue on the old pool.
     */
    public renewConnections(): void {
        this.closePool();
        this.openedPool = undefined;
    }

    public get upstream(): string {
        return this.id;
    }

    public get description(): Upstream {
        return this.current;
    }

    public update(upstream: Upstream): void {
        this.current = upstream;
    }

    /** Updates the load caused by other entries from a report of the upstream. */
    public updateReportedLoad(load: ReportedLoad): void {
        const others = Math.max(0, load.running + load.waiting - this.inFlight);
        this.othersWaiting = Math.min(others, load.waiting);
        this.othersRunning = others - this.othersWaiting;
        this.reportedAt = steadyNow();
    }

    /** Requests of this entry that are running on the upstream. */
    public get inFlight(): number {
        return this.running;
    }

    /** Tokens that those requests are expected to need in the engine's cache. */
    public get tokensInFlight(): number {
        return this.runningTokens;
    }

    /** Bytes of the bodies of those requests. */
    public get bytesInFlight(): number {
        return this.runningBytes;
    }

    /** Monotonic time at which the oldest request without a response was sent; undefined if there is none. */
    public get unansweredSince(): number | undefined {
        return this.unansweredStarts[0];
    }

    /** Monotonic time of the last response of any kind; negative infinity if there was none. */
    public get answeredAt(): number {
        return this.lastAnswerAt;
    }

    public markAnswered(): void {
        this.lastAnswerAt = steadyNow();
    }

    /** Tracks a new request with `ownTokens` of unshared prompt, `tokens` in total, and a body of `bytes`. */
    public track(priority: number, ownTokens: number, tokens: number, bytes = 0): TrackedRequest {
        let startedAt: number | undefined = steadyNow();
        this.unansweredStarts.push(startedAt);
        const tokensAhead = this.queuedTokensAhead(priority, ownTokens) + ownTokens;
        let unread = ownTokens;
        const markPromptRead = () => {
            this.addUnreadTokens(priority, -unread);
            unread = 0;
            if (startedAt !== undefined) {
                this.unansweredStarts.splice(this.unansweredStarts.indexOf(startedAt), 1);
                startedAt = undefined;
            }
        };
        this.addUnreadTokens(priority, ownTokens);
        this.running += 1;
        this.runningTokens += tokens;
        this.runningBytes += bytes;
        const finish = () => {
            markPromptRead();
            this.running -= 1;
            this.runningTokens -= tokens;
            this.runningBytes -= bytes;
        };
        return { tokensAhead, markPromptRead, finish };
    }

    /**
     * Estimates the work queued ahead of a request of this priority, in prompt tokens: unprocessed prompts of the same
     * or a higher priority, and the slowdown by running requests. `tokensPerWaitingRequest`: estimate for requests of
     * other entries.
     */
    public queuedTokensAhead(priority: number, tokensPerWaitingRequest: number): number {
        let tokens = this.running * tokensPerRunningRequest;
        for (const [other, unread] of this.unreadTokens) {
            tokens += other <= priority ? unread : 0;
        }
        return tokens
            + this.reportWeight
                * (this.othersWaiting * tokensPerWaitingRequest + this.othersRunning * tokensPerRunningRequest);
    }

    /** Running and waiting requests: those of this entry, and those of other entries as last reported. */
    public get load(): number {
        return this.inFlight + (this.othersRunning + this.othersWaiting) * this.reportWeight;
    }

    /** Weight of the last load report; decays from 1 to 0. */
    private get reportWeight(): number {
        return Math.max(0, 1 - (steadyNow() - this.reportedAt) / reportLifetimeMs);
    }

    private addUnreadTokens(priority: number, tokens: number): void {
        this.unreadTokens.set(priority, (this.unreadTokens.get(priority) ?? 0) + tokens);
    }

    /**
     * Whether the upstream's process has ended. A process that ends closes all its connections at once, so it is running if
     * one of this entry's is open on which something was read just now; otherwise its address is probed.
     */
    public async hasEnded(): Promise<boolean> {
        await eventLoop.inputRead();
        return !this.connections.hasReadWithin(signOfLifeMs) && await refusesConnections(this.current.address);
    }

    /** Closes the connections once running requests have ended. */
    public close(): void {
        this.closePool();
    }

    /** Closes the connections immediately, since a restarted upstream will never respond to running requests. */
    public destroyConnections(): void {
        this.openedPool?.destroy(new Error("upstream restarted")).catch(() => undefined);
    }

    private openPool(): Pool {
        return new Pool(`http://${this.current.address}`, {
            connections: this.maxConnections,
            pipelining: 1,
            connect: upstreamConnector(connectTimeoutMs, this.connections),
            keepAliveTimeout: keepAliveMs,
            keepAliveMaxTimeout: keepAliveMs * 10,
            keepAliveTimeoutThreshold: keepAliveMarginMs,
            // The forwarder enforces the deadlines; an upstream may be silent while it is working.
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    private closePool(): void {
        // Running requests report their own errors.
        this.openedPool?.close().catch(() => undefined);
    }
}
