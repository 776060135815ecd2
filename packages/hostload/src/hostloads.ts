/**
 * Load of this process's host and what to do about it. The load is that of the scarcest resource: 1 is at its limit,
 * and a process that gets less processor time than its work needs goes beyond 1 by the delay of its event loop.
 */
import { type EventLog, type Metrics, steadyNow } from "@winchpath/core";
import { type ConnectionCounts } from "./connectionlimiters.js";
import { type HostLimits } from "./hostlimits.js";
import { LevelTracker } from "./hysteresis.js";
import { type ProcessUsage } from "./processusages.js";

/** Time over which processor use and loop delays are averaged, in milliseconds; several garbage collections. */
const windowMs = 500;
/** Share of the tightest objective that the event loop may take away, before the load counts as 1. */
const delayObjectiveShare = 0.5;
/** Lower bound of that delay, in milliseconds; single turns of the loop take as long in a healthy process. */
const minDelayLimitMs = 100;
/** Objective assumed without a configuration, in milliseconds. */
const defaultObjectiveMs = 1000;
/** Descriptors of the process that belong to no request: listeners, connections to peers, files. */
const ownDescriptors = 64;

/**
 * Actions by level. At 0.85 of its processor a host still keeps up, but what it holds in vain costs time that others
 * need. Readiness is withdrawn only for overload that lasts, since a load balancer needs seconds to react.
 */
const thresholds = [
    { enter: 0.85, leave: 0.75, sustainedMs: 0 },
    { enter: 0.92, leave: 0.82, sustainedMs: 0 },
    { enter: 1, leave: 0.85, sustainedMs: 1000 },
];
/**
 * Processor use counts up to this while the event loop is on time; less than the first level. Hosts grant their share in
 * bursts, and work beyond it harms nobody until requests have to wait for it.
 */
const maxOnTimeProcessorLoad = 0.8;
/** The event loop is late from this load by its delay; below, three quarters of the tolerated delay are left. */
const lateDelayLoad = 0.25;
/** Load of a host that rejects few connections, and the share of rejected ones at which it is 1. */
const rejectingLoad = 0.92;
const mostRejectedShare = 0.5;

const shedLevel = 1;
const closeLevel = 2;
const reliefLevel = 3;

/**
 * Minimum time between two connections that are closed for load, in milliseconds. Their clients may connect to this host
 * again, and accepting a connection takes processor time that a loaded host lacks.
 */
const closeIntervalMs = 200;

/** The current state of a host's resources, each 1 at its limit; 0 where the limit is unknown. */
export interface ResourceLoads {
    readonly processor: number;
    readonly delay: number;
    readonly memory: number;
    readonly descriptors: number;
    readonly heldBytes: number;
    /** At most 1 while less than half of the connections are rejected. */
    readonly rejections: number;
}

export interface HostLoadInputs {
    readonly limits: HostLimits;
    readonly usage: () => ProcessUsage;
    /** Open connections of clients. */
    readonly connections: () => number;
    /** Requests in progress, each with a connection to an upstream. */
    readonly activeRequests: () => number;
    /** Bytes held for clients as a share of what may be held. */
    readonly heldShare: () => number;
    /** Connections that have arrived since the last call. */
    readonly takeConnections: () => ConnectionCounts;
}

interface Sample {
    readonly at: number;
    readonly processorMs: number;
    readonly delayMs: number;
    readonly connections: ConnectionCounts;
}

const idle: ResourceLoads = { processor: 0, delay: 0, memory: 0, descriptors: 0, heldBytes: 0, rejections: 0 };

export class HostLoad {
    private readonly levels = new LevelTracker(thresholds);
    private samples: Sample[] = [];
    private resources = idle;
    private objectiveMs = defaultObjectiveMs;
    /** Monotonic time at which a request was last known to be in progress, or a connection was rejected. */
    private activeAt = Number.NEGATIVE_INFINITY;
    private requestSeen = false;
    private closedAt = Number.NEGATIVE_INFINITY;

    public constructor(
        private readonly inputs: HostLoadInputs,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {}

    /** Load of the scarcest resource, from 0 to 1 and beyond. */
    public get load(): number {
        const { processor, delay, memory, descriptors, heldBytes, rejections } = this.resources;
        return Math.max(processor, delay, memory, descriptors, heldBytes, rejections);
    }

    public get loads(): ResourceLoads {
        return this.resources;
    }

    /** Whether less urgent requests that can't be sent at once should be rejected. */
    public get shedsWaiting(): boolean {
        return this.levels.level >= shedLevel;
    }

    /** Whether the entry should stop receiving new connections. */
    public get wantsRelief(): boolean {
        return this.levels.level >= reliefLevel;
    }

    /** Whether the connection of the current response should be closed; at most once per {@link closeIntervalMs}. */
    public takeConnectionClose(): boolean {
        const now = steadyNow();
        if (this.levels.level < closeLevel || now - this.closedAt < closeIntervalMs) {
            return false;
        }
        this.closedAt = now;
        return true;
    }

    /** Sets the tightest objective among the routes, in milliseconds; by it delays of the event loop are judged. */
    public setObjective(objectiveMs: number): void {
        this.objectiveMs = objectiveMs;
    }

    /** Called for each request; otherwise a short one might go unnoticed between two samples. */
    public recordRequest(): void {
        this.requestSeen = true;
    }

    /** Forgets all samples and levels. */
    public reset(): void {
        this.samples = [];
        this.resources = idle;
        if (this.levels.level > 0) {
            this.levels.reset();
            this.reportLevel();
        }
    }

    /** Called at short intervals with the delay of the event loop, in milliseconds. Reads nothing while the process is idle. */
    public sample(delayMs: number): void {
        const now = steadyNow();
        // Taken also while idle, so that earlier connections don't count later.
        const connections = this.inputs.takeConnections();
        // A host that rejects all connections sees no request.
        if (this.requestSeen || connections.rejected > 0 || this.inputs.activeRequests() > 0) {
            this.requestSeen = false;
            this.activeAt = now;
        }
        if (now - this.activeAt >= windowMs) {
            // Resident memory, for one, doesn't shrink while nothing happens, and must not keep requests away for good.
            this.reset();
            return;
        }
        const usage = this.inputs.usage();
        this.samples.push({ at: now, processorMs: usage.processorMs, delayMs, connections });
        while (this.samples.length > 2 && now - this.samples[1].at >= windowMs) {
            this.samples.shift();
        }
        this.resources = this.resourceLoads(usage);
        if (this.levels.update(this.load, now)) {
            this.reportLevel();
        }
    }

    private reportLevel(): void {
        this.metrics.setGauge("host_load_level", this.levels.level);
        this.log.info("host.load", { level: this.levels.level, load: this.load, ...this.resources });
    }

    private resourceLoads(usage: ProcessUsage): ResourceLoads {
        const { limits, connections, activeRequests, heldShare } = this.inputs;
        const delay = this.meanDelayMs() / Math.max(minDelayLimitMs, this.objectiveMs * delayObjectiveShare);
        const processor = this.processorLoad();
        return {
            processor: delay < lateDelayLoad ? Math.min(processor, maxOnTimeProcessorLoad) : processor,
            delay,
            memory: ratio(usage.memoryMb, limits.memoryMb),
            descriptors: ratio(connections() + activeRequests() + ownDescriptors, limits.fileDescriptors),
            heldBytes: valid(heldShare()),
            rejections: this.rejectionLoad(),
        };
    }

    /** A host that rejects connections serves all it can; it should get none only if it rejects most of them. */
    private rejectionLoad(): number {
        const sum = (count: (each: ConnectionCounts) => number) =>
            this.samples.reduce((total, { connections }) => total + count(connections), 0);
        const rejected = sum(each => each.rejected);
        const share = rejected / (rejected + sum(each => each.admitted));
        return rejected === 0 ? 0 : rejectingLoad + (1 - rejectingLoad) * share / mostRejectedShare;
    }

    private processorLoad(): number {
        const first = this.samples[0];
        const last = this.samples[this.samples.length - 1];
        const elapsedMs = last.at - first.at;
        return elapsedMs < windowMs
            ? 0
            : ratio((last.processorMs - first.processorMs) / elapsedMs, this.inputs.limits.processorShare);
    }

    /** Mean over the window: a single long garbage collection is not a lack of processor time. */
    private meanDelayMs(): number {
        const [first, ...rest] = this.samples;
        const last = this.samples[this.samples.length - 1];
        if (last.at - first.at < windowMs) {
            return 0;
        }
        return rest.reduce((sum, { delayMs }) => sum + valid(delayMs), 0) / rest.length;
    }
}

function ratio(used: number, limit: number | undefined): number {
    return limit === undefined || !(limit > 0) ? 0 : valid(used / limit);
}

/** Figures that a counter reset or a broken clock has spoilt count as no load. */
function valid(value: number): number {
    return Number.isFinite(value) ? Math.max(0, value) : 0;
}
