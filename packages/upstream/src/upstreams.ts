/** The agent's client for its upstream. */
import {
    Failure,
    FailureCode,
    FramingGuard,
    framingOf,
    invalidStatusReason,
    isFinalStatus,
    messageOf,
    observedConnector,
    readBoundedText,
    ResetDetector,
    type ResponseFraming,
    safeParse,
} from "@winchpath/core";
import { refusesConnections } from "@winchpath/quarantine";
import { Agent, buildConnector, DecoratorHandler, type Dispatcher, request } from "undici";
import { type EngineOrder, EngineState } from "./engineschemas.js";

const orderTimeoutMs = 1000;
const stateTimeoutMs = 1000;
const okStatus = 200;
const acceptedStatus = 202;
const maxConnections = 512;
/** A longer description of an engine's state is not read, in bytes. */
const maxStateBytes = 4 * 1024 * 1024;
/** The rest of a response that isn't needed is read up to this size, in bytes. */
const maxDiscardedBytes = 128 * 1024;

/** Result of sending an order; "uncertain" if no response arrived, so that it may or may not have taken effect. */
export type OrderResult = "taken" | "refused" | "uncertain";

/** A response of the upstream whose body has not been read yet. */
export interface UpstreamResponse {
    readonly status: number;
    /** Header values by lower-case name. */
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: AsyncIterable<Uint8Array>;
    /** How the upstream delimited the body. */
    readonly framing: ResponseFraming;
    /** Whether the connection was reset when the body ended; known once the body has been read. */
    readonly wasReset: () => boolean;
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
    private readonly resetDetector = new ResetDetector();
    private readonly framing = new FramingGuard();
    private readonly agent = new Agent({
        connect: observedConnector(buildConnector({}), socket => {
            this.resetDetector.attach(socket);
            this.framing.attach(socket);
        }),
        connections: maxConnections,
        pipelining: 1,
        bodyTimeout: 0,
        headersTimeout: 0,
    });
    private readonly dispatcher = this.agent.compose(this.framing.interceptor);

    public constructor(private readonly url: string, private readonly isEngine: boolean) {}

    public async readState(): Promise<EngineState | undefined> {
        if (!this.isEngine) {
            return undefined;
        }
        const { statusCode, body } = await request(`${this.url}/engine/state`, {
            dispatcher: this.dispatcher,
            signal: AbortSignal.timeout(stateTimeoutMs),
        });
        if (statusCode !== okStatus) {
            await body.dump({ limit: maxDiscardedBytes });
            throw Failure.of(FailureCode.invalid, `the state was answered with status ${statusCode}`);
        }
        return safeParse(EngineState, JSON.parse(await readBoundedText(body, maxStateBytes))).unwrap();
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
            await body.dump({ limit: maxDiscardedBytes });
            if (!isFinalStatus(statusCode)) {
                return "uncertain";
            }
            return statusCode === acceptedStatus ? "taken" : "refused";
        }
        catch {
            return "uncertain";
        }
    }

    public async send(req: UpstreamRequest): Promise<UpstreamResponse> {
        const connectionEnd = new ConnectionEnd(this.resetDetector);
        try {
            const res = await request(this.url + req.path, {
                dispatcher: this.dispatcher.compose(connectionEnd.interceptor),
                method: req.method as Dispatcher.HttpMethod,
                headers: req.headers,
                body: req.body.length === 0 ? undefined : req.body,
                signal: req.signal,
            });
            if (!isFinalStatus(res.statusCode)) {
                res.body.on("error", () => undefined).destroy();
                throw Failure.of(FailureCode.outcomeUnknown, invalidStatusReason(res.statusCode));
            }
            return {
                status: res.statusCode,
                headers: res.headers,
                body: res.body,
                framing: framingOf(req.method, res.statusCode, Object.entries(res.headers).flatMap(toRawHeader)),
                wasReset: () => connectionEnd.wasReset,
                discard: () => res.body.dump({ limit: maxDiscardedBytes }),
            };
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
        await this.agent.destroy();
    }
}

/** Records whether the connection of one request was reset when its response ended. */
class ConnectionEnd {
    public wasReset = false;

    public constructor(private readonly resetDetector: ResetDetector) {}

    /** Reads the detector in the turn of the event loop in which the response ends. */
    public readonly interceptor: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) => {
        const observed: Dispatcher.DispatchHandler = new DecoratorHandler(handler);
        const onResponseEnd = observed.onResponseEnd?.bind(observed);
        observed.onResponseEnd = (controller, trailers) => {
            this.wasReset = this.resetDetector.wasReset;
            onResponseEnd?.(controller, trailers);
        };
        return dispatch(options, observed);
    };
}

function toRawHeader([name, value]: [string, string | string[] | undefined]): string[] {
    return value === undefined ? [] : [name, String(value)];
}

function isConnectFailure(err: unknown): boolean {
    const code = (err as { code?: string; }).code;
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT";
}
