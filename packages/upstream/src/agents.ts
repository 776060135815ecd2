/** The agent process, which runs next to one upstream and proxies its requests and orders. */
import { create } from "@bufbuild/protobuf";
import { messageOf, newId, sleep } from "@winchpath/core";
import { type RpcClients } from "@winchpath/rpc";
import { type Settings } from "@winchpath/settings";
import { type Timeline } from "@winchpath/timeline";
import { type EngineState } from "./engineschemas.js";
import {
    type Fence,
    type FenceOutcome,
    Refusal,
    type ReportRequest,
    ReportRequestSchema,
    type ReportResponse,
} from "./gen/winchpath/upstream/v1/upstream_pb.js";
import { OrderGate } from "./orders.js";
import { Reporter, ReportSequencer, type ReportSource } from "./reporters.js";
import { type AdmissionCheck, Runner } from "./runners.js";
import { lateAfterMs } from "./runtables.js";
import { type Upstream } from "./upstreams.js";

/** How long a leaving upstream keeps accepting requests, for models that have no other replica yet. */
const leavingGraceMs = 1500;
/** Multiple of the configured concurrency at which further requests are refused. */
const maxConcurrencyFactor = 8;

export type UpstreamSettings = NonNullable<Settings["upstream"]>;

/** Dependencies of an {@link Agent}. */
export interface AgentDependencies {
    readonly cfg: Settings;
    readonly upstream: Upstream;
    readonly clients: RpcClients;
    readonly timeline: Timeline;
}

interface PolledState {
    readonly state: EngineState | undefined;
    readonly settled: Fence;
    readonly readAt: number;
}

interface VoterResponse {
    readonly term: bigint;
    readonly voters: number;
}

export class Agent implements ReportSource {
    /** Unique to each start of the agent; sorts by start time. */
    public readonly incarnation = `${Date.now().toString(36).padStart(9, "0")}-${newId()}`;
    public readonly orderGate: OrderGate;
    public readonly runner: Runner;
    private readonly cfg: UpstreamSettings;
    private readonly sequencer = new ReportSequencer();
    private readonly reporter: Reporter;
    private readonly stopping = new AbortController();
    /** Newest known revision of each declared resource, by name. */
    private readonly resourceRevisions = new Map<string, number>();
    private readonly voterResponses = new Map<string, VoterResponse>();
    private knownRevision = 0;
    private lastPoll: PolledState | undefined;
    private leavingSince: number | undefined;

    public constructor(private readonly dependencies: AgentDependencies) {
        this.cfg = dependencies.cfg.upstream!;
        this.orderGate = new OrderGate(dependencies.upstream, {
            incarnation: this.incarnation,
            checksFence: this.cfg.checksFence,
            orderLifetimeMs: this.cfg.orderLifetime,
        }, dependencies.timeline);
        this.runner = new Runner(
            dependencies.upstream,
            req => this.admit(req),
            dependencies.timeline,
            () => this.announceLeaving("announced in the upstream's response"),
            () => this.leavingSince !== undefined,
        );
        this.reporter = new Reporter(dependencies.clients, this, this.cfg.reportEvery, this.stopping.signal);
    }

    /** Starts polling the upstream's state and reporting it, until {@link stop}. */
    public start(): void {
        this.dependencies.timeline.record("agent.started", { detail: `incarnation=${this.incarnation}` });
        void this.pollState();
        this.reporter.setPeers(this.dependencies.cfg.control.seeds);
    }

    /** Announces that the upstream is leaving, then waits up to `drainMs` for running requests to end. */
    public async leave(drainMs: number): Promise<void> {
        this.announceLeaving("the agent is stopping");
        const deadline = Date.now() + drainMs;
        await sleep(Math.min(leavingGraceMs, drainMs));
        while (this.runner.table.running > 0 && Date.now() < deadline) {
            await this.runner.requestEnded.wait(deadline - Date.now());
        }
        this.dependencies.timeline.record("agent.left", { detail: `unfinished=${this.runner.table.running}` });
    }

    /** Marks the upstream as leaving and reports it at once; later calls have no effect. */
    private announceLeaving(reason: string): void {
        if (this.leavingSince === undefined) {
            this.leavingSince = Date.now();
            this.dependencies.timeline.record("agent.leaving", { detail: `reason: ${reason}` });
            this.reporter.reportNow();
        }
    }

    /** Fences an attempt; see {@link RunTable.fence}. */
    public fence(requestId: string, attempt: number, seenReport: bigint): FenceOutcome {
        return this.runner.table.fence(requestId, attempt, this.sequencer.ageOf(Number(seenReport)));
    }

    /** Stops all tasks and aborts the requests that are still running. */
    public async stop(): Promise<void> {
        this.stopping.abort();
        this.reporter.setPeers([]);
        this.runner.table.abortAll();
        await this.dependencies.upstream.close();
    }

    public report(): ReportRequest {
        const { cfg, lastPoll } = this;
        const load = lastPoll?.state?.load;
        return create(ReportRequestSchema, {
            upstream: cfg.name,
            incarnation: this.incarnation,
            url: this.dependencies.cfg.peerUrl,
            host: this.dependencies.cfg.host,
            dataCentre: this.dependencies.cfg.dataCentre,
            service: cfg.kind === "engine" ? "engine" : cfg.service,
            leaving: this.leavingSince !== undefined,
            accelerators: cfg.accelerators.map(({ name, memory, speed }) => ({
                name,
                memoryBytes: BigInt(memory),
                speed,
            })),
            settled: lastPoll?.settled,
            stateKnown: lastPoll !== undefined,
            residents: lastPoll?.state?.residents.map(resident => ({ ...resident, bytes: BigInt(resident.bytes) }))
                ?? [],
            load: {
                running: load?.running ?? this.runner.table.running,
                waiting: load?.waiting ?? 0,
                capacity: cfg.concurrency,
            },
            loadAgeMs: lastPoll === undefined ? 0 : Date.now() - lastPoll.readAt + (load?.ageMs ?? 0),
            knownRevision: BigInt(this.knownRevision),
            checksFence: cfg.checksFence,
            sequence: BigInt(this.sequencer.next()),
        });
    }

    public onResponse(url: string, res: ReportResponse): void {
        for (const { name, revision } of res.resources) {
            this.resourceRevisions.set(name, Math.max(Number(revision), this.resourceRevisions.get(name) ?? 0));
        }
        if (Number(res.revision) > this.knownRevision) {
            this.knownRevision = Number(res.revision);
            this.dependencies.timeline.record("revision.in-force", { revision: this.knownRevision });
        }
        if (res.members.length > 0) {
            this.reporter.setPeers([...new Set([...this.dependencies.cfg.control.seeds, ...res.members])]);
        }
        if (res.voter) {
            this.voterResponses.set(url, { term: res.term, voters: res.voters });
            this.confirmTerm();
        }
    }

    /** Confirms the highest reported term once a majority of the voters has responded to this incarnation. */
    private confirmTerm(): void {
        const responses = [...this.voterResponses.values()];
        const majority = Math.floor(Math.max(...responses.map(response => response.voters)) / 2) + 1;
        if (responses.length >= majority) {
            this.orderGate.confirmTerm(responses.reduce((max, { term }) => term > max ? term : max, 0n));
        }
    }

    private readonly admit: AdmissionCheck = req => {
        const { table } = this.runner;
        const knownRevision = this.resourceRevisions.get(req.resource) ?? 0;
        if (req.incarnation !== this.incarnation) {
            return { refusal: Refusal.INCARNATION, message: "the agent has restarted" };
        }
        if (this.sequencer.ageOf(Number(req.seenReport)) > lateAfterMs) {
            return { refusal: Refusal.LATE, message: "the entry acted on a report that is too old" };
        }
        if (Number(req.revision) < knownRevision) {
            return {
                refusal: Refusal.STALE_REVISION,
                message: `revision ${knownRevision} is in force`,
                revision: knownRevision,
            };
        }
        if (this.leavingSince !== undefined && Date.now() - this.leavingSince > leavingGraceMs) {
            return { refusal: Refusal.LEAVING, message: "the upstream is leaving" };
        }
        if (table.running >= this.cfg.concurrency * maxConcurrencyFactor) {
            return { refusal: Refusal.OVERLOADED, message: "the upstream has too much to do" };
        }
        return undefined;
    };

    /** Polls the engine's state and reports each change at once. */
    private async pollState(): Promise<void> {
        const { signal } = this.stopping;
        let lastReported = "";
        while (!signal.aborted) {
            try {
                // Captured before the read, so that the state includes every order settled up to this fence.
                const { settled } = this.orderGate;
                const state = await this.dependencies.upstream.readState();
                this.lastPoll = { state, settled, readAt: Date.now() };
                const current = JSON.stringify([state?.residents, Number(settled.term), Number(settled.index)]);
                if (current !== lastReported) {
                    lastReported = current;
                    this.reporter.reportNow();
                }
            }
            catch (err) {
                this.dependencies.timeline.record("upstream.state-lost", { detail: messageOf(err) });
                this.lastPoll = undefined;
            }
            await sleep(this.cfg.pollEvery, signal);
        }
    }
}
