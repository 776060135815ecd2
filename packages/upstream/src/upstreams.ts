/** The agent's client for its upstream. */
import { messageOf, safeParse } from "@winchpath/core";
import { refusesConnections } from "@winchpath/quarantine";
import { Agent, type Dispatcher, request } from "undici";
import { type EngineOrder, EngineState } from "./engineschemas.js";

const orderTimeoutMs = 1000;
const stateTimeoutMs = 1000;
const acceptedStatus = 202;
const maxConnections = 512;

/** Result of sending an order; "uncertain" if no response arrived, so that it may or may not have taken effect. */
export type OrderResult = "taken" | "refused" | "uncertain";

/** A response of the upstream whose body has not been read yet. */
export interface UpstreamResponse {
    readonly status: number;
    /** Header values by lower-case name. */
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: AsyncIterable<Uint8Array>;
    /** Reads and drops the body, so that the connection can be reused. */
    discard(): Promise<void>;
}

export interface UpstreamRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    readonly signal: AbortSignal;
}

/** The connection to the upstream failed, so the request cannot have been started. */
export class NotConnectedError extends Error {}

/** An inference engine or a plain service; a plain service reports no state and accepts no orders. */
export interface Upstream {
    /** Returns the engine's resident models and load, or undefined for a plain service. */
    readState(): Promise<EngineState | undefined>;
    /** Sends an order; failures are reported in the result, never thrown. */
    order(order: EngineOrder): Promise<OrderResult>;
    send(req: UpstreamRequest): Promise<UpstreamResponse>;
    /** Whether the upstream's process has ended, that is, its address refuses connections. */
    hasEnded(): Promise<boolean>;
    close(): Promise<void>;
}

/** An upstream reached over HTTP. */
export class HttpUpstream implements Upstream {
    private readonly dispatcher = new Agent({
        connections: maxConnections,
        pipelining: 1,
        bodyTimeout: 0,
        headersTimeout: 0,
    });

    public constructor(private readonly url: string, private readonly isEngine: boolean) {}

    public async readState(): Promise<EngineState | undefined> {
        if (!this.isEngine) {
            return undefined;
        }
        const { body } = await request(`${this.url}/engine/state`, {
            dispatcher: this.dispatcher,
            signal: AbortSignal.timeout(stateTimeoutMs),
        });
        return safeParse(EngineState, await body.json()).unwrap();
    }

    public async order(order: EngineOrder): Promise<OrderResult> {
        try {
            const { statusCode, body } = await request(`${this.url}/engine/orders`, {
                dispatcher: this.dispatcher,
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(order),
                signal: AbortSignal.timeout(orderTimeoutMs),
            });
            await body.dump();
            return statusCode === acceptedStatus ? "taken" : "refused";
        }
        catch {
            return "uncertain";
        }
    }

    public async send(req: UpstreamRequest): Promise<UpstreamResponse> {
        try {
            const res = await request(this.url + req.path, {
                dispatcher: this.dispatcher,
                method: req.method as Dispatcher.HttpMethod,
                headers: req.headers,
                body: req.body.length === 0 ? undefined : req.body,
                signal: req.signal,
            });
            return { status: res.statusCode, headers: res.headers, body: res.body, discard: () => res.body.dump() };
        }
        catch (err) {
            if (isConnectFailure(err)) {
                throw new NotConnectedError(messageOf(err));
            }
            throw err;
        }
    }

    public hasEnded(): Promise<boolean> {
        return refusesConnections(new URL(this.url).host);
    }

    public async close(): Promise<void> {
        await this.dispatcher.destroy();
    }
}

function isConnectFailure(err: unknown): boolean {
    const code = (err as { code?: string; }).code;
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT";
}
