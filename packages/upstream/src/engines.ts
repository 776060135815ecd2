/** How an agent speaks to the upstream beside it. */
import { messageOf, safeParse } from "@winchpath/core";
import { refusesConnections } from "@winchpath/quarantine";
import { Agent, type Dispatcher, request } from "undici";
import { type EngineOrder, EngineState } from "./schemas.js";

const orderTimeoutMs = 1000;
const stateTimeoutMs = 1000;
const acceptedStatus = 202;
const connections = 512;

/** What is known of an order after it was sent. */
export type OrderAnswer = "taken" | "refused" | "uncertain";

/** An answer of the upstream whose body is still to be read. */
export interface UpstreamAnswer {
    readonly status: number;
    /** Names in lower case. */
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: AsyncIterable<Uint8Array>;
    /** Reads the body to its end, so that the connection can be used again. */
    discard(): Promise<void>;
}

/** A request to the upstream. */
export interface UpstreamRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    readonly signal: AbortSignal;
}

/** The upstream could not be connected to, so that it can't have begun anything. */
export class NotConnectedError extends Error {}

/** An engine or a plain service; a service has no state and takes no orders. */
export interface Upstream {
    /** Reads the engine's residents and load; undefined for a plain service. */
    readState(): Promise<EngineState | undefined>;
    /** Sends one order. Never throws. */
    order(order: EngineOrder): Promise<OrderAnswer>;
    send(req: UpstreamRequest): Promise<UpstreamAnswer>;
    /** Whether its process has ended: its address refuses connections. */
    hasEnded(): Promise<boolean>;
    close(): Promise<void>;
}

/** An upstream over HTTP. */
export class HttpUpstream implements Upstream {
    private readonly dispatcher = new Agent({ connections, pipelining: 1, bodyTimeout: 0, headersTimeout: 0 });

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

    public async order(order: EngineOrder): Promise<OrderAnswer> {
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

    public async send(req: UpstreamRequest): Promise<UpstreamAnswer> {
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
            if (wasNeverConnected(err)) {
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

function wasNeverConnected(err: unknown): boolean {
    const code = (err as { code?: string; }).code;
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT";
}
