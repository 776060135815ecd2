/** Sends final responses and records logs and metrics of requests. */
import { breakOffResponse, type EventLog, eventLoop, type Metrics } from "@winchpath/core";
import { type FleetView } from "@winchpath/fleet";
import { type ServerResponse } from "node:http";
import { type BufferedResponse, writeBufferedResponse } from "./bufferedresponses.js";
import { ageMs, closesConnection, type InboundRequest } from "./inboundrequests.js";
import { asksForAnotherEntry, LocalResponse, writeLocalResponse } from "./localresponses.js";

export interface ResponderDependencies {
    readonly view: Pick<FleetView<unknown>, "version" | "ageMs" | "confirmedAgeMs">;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Whether the process is shutting down, so that responses close client connections. */
    readonly stopping: () => boolean;
    /** Number of requests that are waiting for an upstream. */
    readonly waiting: () => number;
}

type LogFields = Readonly<Record<string, unknown>>;

export class Responder {
    public constructor(private readonly deps: ResponderDependencies) {}

    /** Forwards a buffered non-success response of an upstream. */
    public forward(request: InboundRequest, res: ServerResponse, response: BufferedResponse): void {
        if (request.responseStarted) {
            this.abort(request, res);
            return;
        }
        this.recordMetrics(request, "failure");
        writeBufferedResponse(res, response, closesConnection(request, this.deps.stopping()));
    }

    /** Sends a generated response; closes the connection instead if a response has already started. */
    public respond(
        request: InboundRequest,
        res: ServerResponse,
        response: LocalResponse,
        retryAfterMs?: number,
        details: LogFields = {},
    ): void {
        if (request.responseStarted) {
            this.abort(request, res);
            return;
        }
        this.recordMetrics(request, response.reason);
        this.logEvent(request, "own-answer", {
            status: response.status,
            reason: response.reason,
            retryAfterMs: retryAfterMs === undefined ? undefined : Math.round(retryAfterMs),
            ...this.viewFields(),
            ...details,
        });
        const close = closesConnection(request, this.deps.stopping() || asksForAnotherEntry(response));
        writeLocalResponse(res, response, { retryAfterMs, close });
    }

    /** Records a client that left before its request was sent (again). */
    public recordClientGone(request: InboundRequest, stage: "queue" | "between-attempts"): void {
        this.deps.metrics.count("callers_gone_total", { stage });
        this.logEvent(request, "caller-gone", { stage });
    }

    public recordMetrics(request: InboundRequest, outcome: string): void {
        this.deps.metrics.count("requests_total", { route: request.route.name, outcome });
        this.deps.metrics.histogram("request", { route: request.route.name, outcome }).record(ageMs(request));
    }

    /** Logs an event of a request, as a warning unless it is a successful attempt or a stream of known origin. */
    public logEvent(request: InboundRequest, event: string, fields: LogFields): void {
        const { model, adapter } = request.metadata;
        const succeeded = event === "attempt" ? fields.outcome === "answered" : fields.origin === "known";
        const entry = {
            request: request.id,
            route: request.route.name,
            account: request.grant?.account,
            model: model === "" ? undefined : model,
            adapter: adapter === "" ? undefined : adapter,
            ageMs: Math.round(ageMs(request)),
            ...fields,
        };
        if (succeeded) {
            this.deps.log.info(`request.${event}`, entry);
        }
        else {
            this.deps.log.warn(`request.${event}`, entry);
        }
    }

    /** Closes the connection of a response that cannot be completed. */
    private abort(request: InboundRequest, res: ServerResponse): void {
        this.recordMetrics(request, "cut");
        this.logEvent(request, "cut", this.viewFields());
        breakOffResponse(res);
    }

    private viewFields(): LogFields {
        const { view, waiting } = this.deps;
        return {
            configuration: view.version,
            viewAgeMs: Math.round(view.ageMs),
            confirmedAgeMs: Math.round(view.confirmedAgeMs),
            loopDelayMs: eventLoop.delayMs,
            waiting: waiting(),
        };
    }
}
