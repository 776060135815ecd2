/** Acts on the load of this entry's host: counts what it holds, and sheds load where the host lacks resources. */
import { breakOffResponse, type EventLog, type Metrics, takenOutputBytes } from "@winchpath/core";
import { type Configuration } from "@winchpath/declarations";
import { type HostCapacityReport } from "@winchpath/fleet";
import {
    heldBytesBound,
    type HeldRequest,
    type HostLimits,
    HostLoad,
    ProcessUsageReader,
    SlowReaderLimiter,
} from "@winchpath/hostload";
import { type ServerResponse } from "node:http";
import { type Server } from "node:net";
import { type Refusal } from "./admissioncontrollers.js";
import { slowReaderReason } from "./attemptoutcomes.js";
import { ConnectionGate } from "./connectiongates.js";
import { type InboundRequest } from "./inboundrequests.js";
import { LocalResponse } from "./localresponses.js";
import { type Unavailable, type WaitDecisions } from "./waitpolicies.js";

/** Retry-After of requests that are shed, in milliseconds: the client connects anew, mostly to another host. */
const shedRetryMs = 100;

export interface HostGuardOptions {
    readonly limits: HostLimits;
    /**
     * Whether the feature `host-capacity` is active; otherwise only the memory for slow readers, and a queue of new
     * connections that stands for long, are bounded.
     */
    readonly isActive: () => boolean;
    /** Whether this entry is ready to serve, leaving aside its load. */
    readonly isReady: () => boolean;
}

export class HostGuard {
    private readonly load: HostLoad;
    private readonly slowReaders: SlowReaderLimiter;
    private readonly connectionGate: ConnectionGate;
    private mostUrgentPriority = 0;

    public constructor(private readonly options: HostGuardOptions, log: EventLog, metrics: Metrics) {
        const usage = new ProcessUsageReader();
        this.slowReaders = new SlowReaderLimiter(heldBytesBound(options.limits), log, metrics);
        this.connectionGate = new ConnectionGate(log, metrics);
        this.load = new HostLoad(
            {
                limits: options.limits,
                usage: () => usage.read(),
                connections: () => this.connectionGate.open,
                activeRequests: () => this.slowReaders.size,
                heldShare: () => this.slowReaders.heldShare,
                takeConnections: () => this.connectionGate.takeCounts(),
            },
            log,
            metrics,
        );
    }

    /** Called at short intervals with the delay of the event loop, in milliseconds. */
    public sample(delayMs: number): void {
        this.slowReaders.check();
        // Also while inactive: the leader finds out by the load whether other hosts have room that this one lacks.
        this.load.sample(delayMs);
        if (this.options.isActive()) {
            this.connectionGate.sample();
        }
        else {
            this.connectionGate.reset();
        }
    }

    /** Counts the connections of a server, and rejects those that its host can't serve before anything is read. */
    public watch(server: Server): void {
        this.connectionGate.guard(server);
    }

    public setConfiguration({ routes }: Configuration): void {
        const objectives = routes.map(({ objectiveMs }) => objectiveMs);
        if (objectives.length > 0) {
            this.load.setObjective(Math.min(...objectives));
            this.connectionGate.setObjective(Math.min(...objectives));
        }
        this.mostUrgentPriority = Math.min(...routes.map(({ priority }) => priority));
    }

    /**
     * Tracks a request until its response is complete or its connection has closed. The caller releases requests whose
     * connection closed before their response was started, which has no event.
     */
    public requestStarted(res: ServerResponse, clientAbort: AbortController): HeldRequest {
        const held = this.slowReaders.track({
            heldBytes: () => res.writableLength,
            takenBytes: () => res.socket ? takenOutputBytes(res.socket) : 0,
            end: () => {
                clientAbort.abort(slowReaderReason);
                breakOffResponse(res);
            },
        });
        res.once("close", () => held.release());
        this.load.recordRequest();
        if (this.options.isActive() && this.load.takeConnectionClose()) {
            res.shouldKeepAlive = false;
        }
        return held;
    }

    /** Whether a request that can't be sent at once is rejected for the sake of more urgent ones. */
    public sheds(request: InboundRequest): boolean {
        return this.load.shedsWaiting && this.options.isActive()
            && request.route.priority > this.mostUrgentPriority
            // An upstream may have executed it, so that a rejection would be wrong.
            && request.attemptedUpstreams.length === 0;
    }

    /** Whether the entry reports that it isn't ready; `mayWithdraw`: whether the leader has granted that. */
    public withdrawsReadiness(mayWithdraw: boolean): boolean {
        return mayWithdraw && this.options.isActive() && this.load.wantsRelief;
    }

    /** What the leader is told about this host. */
    public capacity(): HostCapacityReport {
        const { limits, isActive, isReady } = this.options;
        return {
            processorShare: limits.processorShare ?? 0,
            memoryMb: limits.memoryMb ?? 0,
            load: this.load.load,
            wantsRelief: isActive() && this.load.wantsRelief,
            ready: isReady(),
        };
    }
}

/** Lets requests wait by another policy, except those that a loaded host sheds. */
export class HostLoadWaitPolicy implements WaitDecisions {
    public constructor(
        private readonly policy: WaitDecisions,
        private readonly guard: Pick<HostGuard, "sheds"> | undefined,
    ) {}

    public waitMs(request: InboundRequest, reason: Unavailable): number {
        return this.sheds(request) ? 0 : this.policy.waitMs(request, reason);
    }

    public refusal(request: InboundRequest, reason: Unavailable): Refusal {
        return this.sheds(request)
            ? { kind: "refused", response: LocalResponse.hostLoaded, retryAfterMs: shedRetryMs }
            : this.policy.refusal(request, reason);
    }

    public waitsLong(request: InboundRequest, reason: Unavailable): boolean {
        return this.policy.waitsLong(request, reason);
    }

    private sheds(request: InboundRequest): boolean {
        return this.guard?.sheds(request) ?? false;
    }
}
