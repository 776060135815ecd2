/** Assigns requests to upstreams; a request waits for one as long as that is useful. */
import { WaitBounds } from "@winchpath/admission";
import { type EngineSpec } from "@winchpath/declarations";
import { type Refusal } from "./admissioncontrollers.js";
import { type UpstreamAssignment } from "./attemptsenders.js";
import { type EndpointTable } from "./endpointtables.js";
import { type FairShares } from "./fairshares.js";
import { type ForwarderDependencies } from "./forwarders.js";
import { type InboundRequest, itemKeyOf } from "./inboundrequests.js";
import { LocalResponse } from "./localresponses.js";
import { type Reservations } from "./reservations.js";
import { type SharedAdmission } from "./sharedadmissions.js";
import { stoppingRetryMs } from "./shutdownchecks.js";
import { type Selection, type UpstreamSelector } from "./upstreamselectors.js";
import { type Unavailable, type WaitDecisions } from "./waitpolicies.js";
import { type WaitOrder, WaitQueue } from "./waitqueues.js";

/** Interval at which a waiting request checks whether to keep waiting, in milliseconds. */
const recheckIntervalMs = 100;
/** Maximum number of requests that wait long; each holds a client connection, of which an entry may have 2,000. */
const maxLongWaits = 512;
/** Maximum size of the bodies of requests that wait long, in bytes; a tenth of the memory of a small entry. */
const maxLongWaitBytes = 16 * 1024 * 1024;

export type Assignment = UpstreamAssignment | Refusal;

export interface UpstreamAssignerDependencies
    extends Pick<ForwarderDependencies, "view" | "meter" | "stopping" | "metrics">
{
    readonly endpoints: EndpointTable;
    readonly selector: UpstreamSelector;
    readonly waitPolicy: WaitDecisions;
    readonly sharedAdmission: SharedAdmission;
    readonly fairShares: FairShares;
    readonly reservations: Reservations;
    readonly order: WaitOrder<InboundRequest>;
    /** Returns why the request must not be sent any more. */
    readonly denial: (request: InboundRequest) => Refusal | undefined;
}

export class UpstreamAssigner {
    private readonly waitQueue: WaitQueue<InboundRequest, Assignment>;
    private readonly longWaits: WaitBounds<InboundRequest>;

    public constructor(private readonly deps: UpstreamAssignerDependencies) {
        this.waitQueue = new WaitQueue(deps.order);
        this.longWaits = new WaitBounds({
            maxCount: maxLongWaits,
            maxBytes: maxLongWaitBytes,
            bytesOf: ({ body }) => body.length,
            compare: (a, b) => deps.order.compare(a, b),
            onDisplaced: request => {
                this.deps.metrics.count("long_waits_displaced_total", { service: request.service });
                this.waitQueue.cancel(request);
            },
        });
    }

    /** Number of requests that wait for an upstream. */
    public get waiting(): number {
        return this.waitQueue.size;
    }

    public isWaiting(request: InboundRequest): boolean {
        return this.waitQueue.has(request);
    }

    /** Lets waiting requests try again. */
    public retryAll(): void {
        this.waitQueue.retryAll();
    }

    /** Selects an upstream, waiting for one as long as that is useful. */
    public async assign(request: InboundRequest): Promise<Assignment> {
        const key = itemKeyOf(request);
        this.waitQueue.arrived(request);
        let waitReported = false;
        let waitedLong = false;
        let endWait: (() => void) | undefined;
        try {
            for (;;) {
                const denied = this.deps.denial(request);
                if (denied !== undefined) {
                    return denied;
                }
                const result = this.tryAssignInTurn(request);
                if (result.kind === "upstream") {
                    return result;
                }
                if (this.deps.stopping()) {
                    // Another entry can let the request wait longer.
                    return { kind: "refused", response: LocalResponse.stopping, retryAfterMs: stoppingRetryMs };
                }
                if (result.kind === "lacking" && !waitReported) {
                    waitReported = true;
                    this.deps.meter.waitStarted(key);
                }
                const waitMs = this.deps.waitPolicy.waitMs(request, result);
                const isWaitUseful = waitMs > 0 && !request.abortSignal.aborted;
                // A request with time left waits behind more urgent ones until capacity is free again.
                const isLimited = isWaitUseful && !this.deps.waitPolicy.waitsLong(request, result);
                const aboveLimit = isLimited ? this.deps.sharedAdmission.refusal(request, result) : undefined;
                if (aboveLimit !== undefined) {
                    return aboveLimit;
                }
                // Checked last, since taking a place may displace another request.
                if (!isWaitUseful || !this.mayWait(request, result, waitedLong)) {
                    const overShare = result.kind === "full" ? this.deps.fairShares.refusal(request) : undefined;
                    return overShare ?? this.deps.waitPolicy.refusal(request, result);
                }
                endWait ??= this.deps.sharedAdmission.waitStarted(request);
                waitedLong = this.longWaits.has(request);
                if (result.kind === "full") {
                    this.deps.fairShares.enter(request);
                }
                const checkMs = this.deps.fairShares.recheckIntervalMs(request) ?? recheckIntervalMs;
                const assigned = await this.waitForUpstream(request, Math.min(waitMs, checkMs));
                if (assigned !== undefined) {
                    return assigned;
                }
            }
        }
        finally {
            this.longWaits.delete(request);
            this.deps.fairShares.leave(request);
            endWait?.();
            if (waitReported) {
                this.deps.meter.waitEnded(key);
            }
        }
    }

    /** Selects an upstream without taking a permit or waiting. */
    public select(request: InboundRequest): Selection {
        return this.deps.selector.select(
            request,
            this.deps.endpoints.ready(request.service),
            this.engineOf(request.service),
        );
    }

    /** Whether there is a place for a request that waits long; it loses its place to requests that are served before it. */
    private mayWait(request: InboundRequest, reason: Unavailable, waitedLong: boolean): boolean {
        if (!this.deps.waitPolicy.waitsLong(request, reason) || this.longWaits.has(request)) {
            return true;
        }
        if (waitedLong) {
            return false;
        }
        const added = this.longWaits.tryAdd(request);
        if (!added) {
            this.deps.metrics.count("long_waits_rejected_total", { service: request.service });
        }
        return added;
    }

    private waitForUpstream(request: InboundRequest, ms: number): Promise<Assignment | undefined> {
        return this.waitQueue.wait(request, ms, request.abortSignal, () => {
            const result = this.tryAssign(request);
            return result.kind === "upstream" ? result : undefined;
        });
    }

    /** As `tryAssign`, but a request that can wait lets those go first that are to be served before it. */
    private tryAssignInTurn(request: InboundRequest): UpstreamAssignment | Unavailable {
        const { fairShares, waitPolicy } = this.deps;
        return fairShares.isBehindOthers(request) && waitPolicy.waitMs(request, { kind: "full" }) > 0
            ? { kind: "full" }
            : this.tryAssign(request);
    }

    /**
     * Selects an upstream to send the request to. After a backoff, the upstream receives no other request until it
     * has responded.
     */
    private tryAssign(request: InboundRequest): UpstreamAssignment | Unavailable {
        const selection = this.select(request);
        if (selection.kind !== "upstream") {
            return selection;
        }
        const { fairShares, reservations, selector, sharedAdmission } = this.deps;
        const { alternatives, endpoint } = selection;
        const isSpare = () =>
            alternatives > 0 || selector.leavesCapacity(request, endpoint, this.engineOf(request.service));
        if (!sharedAdmission.mayUse(request, endpoint) || fairShares.isReservedForOthers(request, isSpare)) {
            return { kind: "full" };
        }
        const { availability } = this.deps.view;
        availability.sent(endpoint.id);
        fairShares.served(request);
        const permitDecision = availability.rates.acquirePermit(endpoint.id);
        return { ...selection, permitDecision, reservation: reservations.reserve(request, endpoint) };
    }

    private engineOf(service: string): EngineSpec | undefined {
        return this.deps.view.configuration?.services.find(({ name }) => name === service)?.engine;
    }
}
