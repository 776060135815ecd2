/** The agent: the process beside one upstream. */
import { create } from "@bufbuild/protobuf";
import { messageOf, newIdentity, sleep } from "@winchpath/core";
import { type RpcClients } from "@winchpath/rpc";
import { type Settings } from "@winchpath/settings";
import { type Timeline } from "@winchpath/timeline";
import { type Upstream } from "./engines.js";
import {
    type Fence,
    type FenceOutcome,
    Refusal,
    type ReportRequest,
    ReportRequestSchema,
    type ReportResponse,
} from "./gen/winchpath/upstream/v1/upstream_pb.js";
import { OrderGate } from "./orders.js";
import { ReportClock, Reporter, type ReportSource } from "./reporters.js";
import { type Admission, Runner } from "./runners.js";
import { type EngineState } from "./schemas.js";
import { lateAfterMs } from "./tables.js";

/** A leaver goes on taking work this long, for models that have no other replica yet. */
const leaveGraceMs = 1500;
/** Requests in the upstream, in multiples of what it serves at full speed, above which more are refused. */
const overloadFactor = 8;

/** Settings of an agent's upstream. */
export type UpstreamSettings = NonNullable<Settings["upstream"]>;

/** What an agent is made of. */
export interface AgentParts {
    readonly cfg: Settings;
    readonly upstream: Upstream;
    readonly clients: RpcClients;
    readonly timeline: Timeline;
}

interface KnownState {
    readonly state: EngineState | undefined;
    readonly settled: Fence;
    readonly readAt: number;
}

interface Voter {
    readonly term: bigint;
    readonly voters: number;
}

export class Agent implements ReportSource {
    /** New at each start; later ones sort after earlier ones. */
    public readonly incarnation = `${Date.now().toString(36).padStart(9, "0")}-${newIdentity()}`;
    public readonly gate: OrderGate;
    public readonly runner: Runner;
    private readonly cfg: UpstreamSettings;
    private readonly reports = new ReportClock();
    private readonly reporter: Reporter;
    private readonly stopping = new AbortController();
    /** Newest revision that is known of each declared name. */
    private readonly revisions = new Map<string, number>();
    private readonly voters = new Map<string, Voter>();
    private knownRevision = 0;
    private known: KnownState | undefined;
    private leavingSince: number | undefined;

    public constructor(private readonly parts: AgentParts) {
        this.cfg = parts.cfg.upstream!;
        this.gate = new OrderGate(parts.upstream, {
            incarnation: this.incarnation,
            checksFence: this.cfg.checksFence,
            orderLifetimeMs: this.cfg.orderLifetime,
        }, parts.timeline);
        this.runner = new Runner(
            parts.upstream,
            req => this.admit(req),
            parts.timeline,
            () => this.tellLeaving("the upstream's answer"),
        );
        this.reporter = new Reporter(parts.clients, this, this.cfg.reportEvery, this.stopping.signal);
    }

    /** Announces the upstream, and goes on doing so until {@link stop}. */
    public start(): void {
        this.parts.timeline.record("agent.started", { detail: `incarnation=${this.incarnation}` });
        void this.pollState();
        this.reporter.setPeers(this.parts.cfg.control.seeds);
    }

    /** Tells all that the upstream leaves, and waits until what runs has ended, or `drainMs` is over. */
    public async leave(drainMs: number): Promise<void> {
        this.tellLeaving("the agent stops");
        const deadline = Date.now() + drainMs;
        await sleep(Math.min(leaveGraceMs, drainMs));
        while (this.runner.table.running > 0 && Date.now() < deadline) {
            await this.runner.ended.wait(deadline - Date.now());
        }
        this.parts.timeline.record("agent.left", { detail: `unfinished=${this.runner.table.running}` });
    }

    /** From now on all are told that the upstream leaves; the first word counts. */
    private tellLeaving(told: string): void {
        if (this.leavingSince === undefined) {
            this.leavingSince = Date.now();
            this.parts.timeline.record("agent.leaving", { detail: `told by ${told}` });
            this.reporter.reportNow();
        }
    }

    /** Settles an attempt; see {@link RunTable.fence}. */
    public fence(requestId: string, attempt: number, seenReport: bigint): FenceOutcome {
        return this.runner.table.fence(requestId, attempt, this.reports.ageOf(Number(seenReport)));
    }

    /** Ends all tasks, and cuts off what still runs. */
    public async stop(): Promise<void> {
        this.stopping.abort();
        this.reporter.setPeers([]);
        this.runner.table.abortAll();
        await this.parts.upstream.close();
    }

    public report(): ReportRequest {
        const { cfg, known } = this;
        const load = known?.state?.load;
        return create(ReportRequestSchema, {
            upstream: cfg.name,
            incarnation: this.incarnation,
            url: this.parts.cfg.peerUrl,
            host: this.parts.cfg.host,
            dataCentre: this.parts.cfg.dataCentre,
            service: cfg.kind === "engine" ? "engine" : cfg.service,
            leaving: this.leavingSince !== undefined,
            accelerators: cfg.accelerators.map(({ name, memory, speed }) => ({
                name,
                memoryBytes: BigInt(memory),
                speed,
            })),
            settled: known?.settled,
            stateKnown: known !== undefined,
            residents: known?.state?.residents.map(resident => ({ ...resident, bytes: BigInt(resident.bytes) })) ?? [],
            load: {
                running: load?.running ?? this.runner.table.running,
                waiting: load?.waiting ?? 0,
                capacity: cfg.concurrency,
            },
            loadAgeMs: known === undefined ? 0 : Date.now() - known.readAt + (load?.ageMs ?? 0),
            knownRevision: BigInt(this.knownRevision),
            checksFence: cfg.checksFence,
            sequence: BigInt(this.reports.next()),
        });
    }

    public answered(url: string, res: ReportResponse): void {
        for (const { name, revision } of res.resources) {
            this.revisions.set(name, Math.max(Number(revision), this.revisions.get(name) ?? 0));
        }
        if (Number(res.revision) > this.knownRevision) {
            this.knownRevision = Number(res.revision);
            this.parts.timeline.record("revision.in-force", { revision: this.knownRevision });
        }
        if (res.members.length > 0) {
            this.reporter.setPeers([...new Set([...this.parts.cfg.control.seeds, ...res.members])]);
        }
        if (res.voter) {
            this.voters.set(url, { term: res.term, voters: res.voters });
            this.confirmTerm();
        }
    }

    /** A term is confirmed once a majority of the voters was heard under this incarnation. */
    private confirmTerm(): void {
        const answers = [...this.voters.values()];
        const needed = Math.floor(Math.max(...answers.map(answer => answer.voters)) / 2) + 1;
        if (answers.length >= needed) {
            this.gate.confirmTerm(answers.reduce((max, { term }) => term > max ? term : max, 0n));
        }
    }

    private readonly admit: Admission = req => {
        const { table } = this.runner;
        const known = this.revisions.get(req.resource) ?? 0;
        if (req.incarnation !== this.incarnation) {
            return { refusal: Refusal.INCARNATION, message: "the agent has restarted" };
        }
        if (this.reports.ageOf(Number(req.seenReport)) > lateAfterMs) {
            return { refusal: Refusal.LATE, message: "the entry acted on a report that is too old" };
        }
        if (Number(req.revision) < known) {
            return { refusal: Refusal.STALE_REVISION, message: `revision ${known} is in force`, revision: known };
        }
        if (this.leavingSince !== undefined && Date.now() - this.leavingSince > leaveGraceMs) {
            return { refusal: Refusal.LEAVING, message: "the upstream is leaving" };
        }
        if (table.running >= this.cfg.concurrency * overloadFactor) {
            return { refusal: Refusal.OVERLOADED, message: "the upstream has too much to do" };
        }
        return undefined;
    };

    /** Reads the engine's state over and over; a change in it is reported at once. */
    private async pollState(): Promise<void> {
        const { signal } = this.stopping;
        let shown = "";
        while (!signal.aborted) {
            try {
                // Taken before the state is read: what had settled by then shows in it.
                const { settled } = this.gate;
                const state = await this.parts.upstream.readState();
                this.known = { state, settled, readAt: Date.now() };
                const next = JSON.stringify([state?.residents, Number(settled.term), Number(settled.index)]);
                if (next !== shown) {
                    shown = next;
                    this.reporter.reportNow();
                }
            }
            catch (err) {
                this.parts.timeline.record("upstream.state-lost", { detail: messageOf(err) });
                this.known = undefined;
            }
            await sleep(this.cfg.pollEvery, signal);
        }
    }
}
