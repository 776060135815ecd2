/** What an entry knows and uses of one upstream: its connections, and how busy it is. */
import { steadyNow } from "@winchpath/core";
import { type Upstream } from "@winchpath/fleet";
import { Pool } from "undici";
import { type ReportedLoad } from "./codecs.js";

/** A connection that is not established by then is given up; round trips take a few milliseconds at most. */
const connectTimeoutMs = 400;
/** Idle connections are kept this long where the upstream names no time of its own. */
const keepAliveMs = 20_000;
/** Idle connections are closed this much before the upstream would, so that no request crosses the close. */
const keepAliveMarginMs = 700;
/** What others run there is taken to have ended this long after it was reported. */
const reportLifeMs = 2500;

export class UpstreamLink {
    public readonly id: string;
    public readonly pool: Pool;
    /** Requests of this entry that run there. */
    public inFlight = 0;
    /** Tokens that those need, at most. */
    public tokensInFlight = 0;
    private othersLoad = 0;
    private reportedAt = Number.NEGATIVE_INFINITY;
    private known: Upstream;

    public constructor(upstream: Upstream, connections: number) {
        this.id = upstream.id;
        this.known = upstream;
        this.pool = new Pool(`http://${upstream.address}`, {
            connections,
            pipelining: 1,
            connect: { timeout: connectTimeoutMs },
            keepAliveTimeout: keepAliveMs,
            keepAliveMaxTimeout: keepAliveMs * 10,
            keepAliveTimeoutThreshold: keepAliveMarginMs,
            // The forwarder keeps the deadlines; a silent upstream may still be at work.
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    public get upstream(): string {
        return this.id;
    }

    public get description(): Upstream {
        return this.known;
    }

    public update(upstream: Upstream): void {
        this.known = upstream;
    }

    /** Takes in how busy the upstream said that it is. */
    public report(load: ReportedLoad): void {
        this.othersLoad = Math.max(0, load.running + load.waiting - this.inFlight);
        this.reportedAt = steadyNow();
    }

    /** Requests that run or wait there: this entry's, and others' as last reported and fading since. */
    public get load(): number {
        const age = steadyNow() - this.reportedAt;
        return this.inFlight + this.othersLoad * Math.max(0, 1 - age / reportLifeMs);
    }

    /** Closes its connections once what runs has ended. */
    public close(): void {
        // Requests that run end by themselves or with their deadlines; an error here concerns nobody.
        this.pool.close().catch(() => undefined);
    }
}
