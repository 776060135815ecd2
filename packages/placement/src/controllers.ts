/** Reconciliation loop of the leader: sends engines the orders that bring them to the declared state. */
import { create } from "@bufbuild/protobuf";
import { type Logger, logger, messageOf, Notifier } from "@winchpath/core";
import { type Catalogue } from "@winchpath/declarations";
import { type Timeline } from "@winchpath/timeline";
import {
    compareFences,
    fenceOf,
    type LiveUpstream,
    OrderKind,
    OrderOutcome,
    type OrderRequest,
    OrderRequestSchema,
    type Registrar,
} from "@winchpath/upstream";
import { type DemandTracker } from "./demandtrackers.js";
import { type Ledger } from "./ledgers.js";
import { LoadRateLimiter } from "./loadratelimiters.js";
import { acceleratorViews, type Action, type Placer } from "./placementviews.js";
import { reconcile } from "./reconciliations.js";
import { type FencingNumber, type LedgerCommand, type LedgerResult } from "./schemas.js";

const roundIntervalMs = 200;
const orderTimeoutMs = 3000;
/** Delay before a barrier is sent to an upstream that rejected or did not confirm an order. */
const barrierDelayMs = 500;

/** The part of the control log that placement needs. */
export interface LedgerLog {
    /** The term in which this process leads, once it has applied all earlier entries; undefined otherwise. */
    readonly leadingTerm: number | undefined;
    /** Commits a command as leader. */
    propose(command: LedgerCommand): Promise<LedgerResult>;
}

/** Sends orders to agents. */
export interface OrderSender {
    send(url: string, order: OrderRequest, timeoutMs: number): Promise<OrderOutcome>;
}

export interface ControllerDependencies {
    readonly log: LedgerLog;
    readonly ledger: Ledger;
    readonly registrar: Registrar;
    readonly orders: OrderSender;
    readonly placer: Placer;
    readonly demand: DemandTracker;
    readonly catalogue: () => Catalogue;
    readonly timeline: Timeline;
    readonly moveCost: number;
    readonly storeRate: number;
    readonly storeConcurrency: number;
}

export class PlacementController {
    /** Notify this when declarations, upstreams or leadership change. */
    public readonly wake = new Notifier();
    private readonly loadLimiter: LoadRateLimiter;
    private readonly log: Logger = logger("placement");
    /** Upstreams with an unconfirmed order, and the Date.now() from which a barrier may be sent to them. */
    private readonly barrierDueAt = new Map<string, number>();
    /** Tail of each upstream's order queue. */
    private readonly orderQueues = new Map<string, Promise<void>>();

    public constructor(private readonly dependencies: ControllerDependencies) {
        this.loadLimiter = new LoadRateLimiter(dependencies.storeRate, dependencies.storeConcurrency);
    }

    /** Runs until the signal is aborted; idle while another process leads. */
    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.wake.wait(roundIntervalMs);
            const term = this.dependencies.log.leadingTerm;
            if (term === undefined || signal.aborted) {
                this.barrierDueAt.clear();
                continue;
            }
            try {
                await this.runRound(term);
            }
            catch (err) {
                this.log("round failed", { error: messageOf(err) });
            }
        }
    }

    private async runRound(term: number): Promise<void> {
        const engines = this.dependencies.registrar.live().filter(({ report }) => report.service === "engine");
        await this.registerUpstreams(engines, term);
        await this.recordFindings(engines, term);
        await this.issueOrders(engines, term);
    }

    /** Registers upstreams after a new incarnation, a new term or an unconfirmed order, and sends them a barrier. */
    private async registerUpstreams(engines: readonly LiveUpstream[], term: number): Promise<void> {
        const due = engines.filter(engine => this.needsBarrier(engine, term));
        if (due.length === 0) {
            return;
        }
        const upstreams = due.map(({ report }) => ({
            name: report.upstream,
            incarnation: report.incarnation,
            dataCentre: report.dataCentre,
            accelerators: report.accelerators.map(({ name, memoryBytes, speed }) => ({
                name,
                bytes: Number(memoryBytes),
                speed,
            })),
        }));
        due.forEach(({ report }) => this.barrierDueAt.delete(report.upstream));
        const result = await this.dependencies.log.propose({ op: "register", upstreams });
        if (result.tag === "ordered") {
            due.forEach(engine => {
                this.send(engine, result.fence, { kind: OrderKind.BARRIER, accelerator: "", item: "", bytes: 0 });
            });
        }
    }

    private needsBarrier({ report }: LiveUpstream, term: number): boolean {
        const known = this.dependencies.ledger.upstream(report.upstream);
        return known?.incarnation !== report.incarnation || known.fence.term < term
            || (this.barrierDueAt.get(report.upstream) ?? Number.POSITIVE_INFINITY) <= Date.now();
    }

    /** Commits the differences between the ledger and the engines' reports. */
    private async recordFindings(engines: readonly LiveUpstream[], term: number): Promise<void> {
        const settled = engines.filter(engine => this.hasPassedBarrier(engine, term));
        const found = settled.map(engine =>
            reconcile(this.dependencies.ledger.holdingsOf(engine.report.upstream), engine.report)
        );
        const settlements = found.flatMap(each => each.settlements);
        const adoptions = found.flatMap(each => each.adoptions);
        if (settlements.length + adoptions.length > 0) {
            await this.dependencies.log.propose({ op: "settle", settlements, adoptions });
            settlements.forEach(({ upstream, accelerator, item, found: state }) => {
                this.dependencies.timeline.record("ledger.settled", {
                    resource: item,
                    detail: `${state} on ${upstream}/${accelerator}`,
                });
            });
        }
    }

    private hasPassedBarrier({ report }: LiveUpstream, term: number): boolean {
        const known = this.dependencies.ledger.upstream(report.upstream);
        if (known?.incarnation !== report.incarnation || known.fence.term < term || !report.stateKnown) {
            return false;
        }
        const settled = report.settled ?? fenceOf(0, 0);
        return compareFences(settled, fenceOf(known.fence.term, known.fence.index)) >= 0;
    }

    private async issueOrders(engines: readonly LiveUpstream[], term: number): Promise<void> {
        const { ledger, catalogue, demand, moveCost, placer } = this.dependencies;
        const orderable = (engine: LiveUpstream) => this.hasPassedBarrier(engine, term);
        const view = {
            catalogue: catalogue(),
            accelerators: acceleratorViews(ledger, engines, catalogue().drained, orderable),
            demand: demand.current(),
            moveCost,
        };
        for (const action of placer.plan(view)) {
            const engine = engines.find(({ report }) => report.upstream === action.upstream);
            if (engine === undefined || !orderable(engine) || !this.isWithinLoadLimits(action)) {
                continue;
            }
            await this.execute(engine, action);
        }
    }

    private isWithinLoadLimits(action: Action): boolean {
        const loading = this.dependencies.ledger.list().filter(holding => holding.state === "loading").length;
        return action.kind === "unload" || this.loadLimiter.tryAcquire(loading);
    }

    /** Commits the action to the ledger before sending the order. */
    private async execute(engine: LiveUpstream, action: Action): Promise<void> {
        const { upstream, accelerator, item, bytes, kind } = action;
        const { incarnation } = engine.report;
        const command: LedgerCommand = kind === "load"
            ? { op: "load", upstream, accelerator, item, bytes, incarnation }
            : { op: "unload", upstream, accelerator, item, incarnation };
        const result = await this.dependencies.log.propose(command);
        const detail = `${kind} on ${upstream}/${accelerator}: ${action.reason}`;
        if (result.tag === "refused") {
            this.dependencies.timeline.record("ledger.refused", {
                resource: item,
                detail: `${detail}; ${result.reason}`,
            });
            return;
        }
        this.dependencies.timeline.record("order.decided", { resource: item, detail });
        const order = kind === "load" ? OrderKind.LOAD : OrderKind.UNLOAD;
        this.send(engine, result.fence, { kind: order, accelerator, item, bytes });
    }

    /** Queues an order; fencing numbers must arrive in order at each upstream. */
    private send(
        engine: LiveUpstream,
        fence: FencingNumber,
        order: { kind: OrderKind; accelerator: string; item: string; bytes: number; },
    ): void {
        const { upstream, url, incarnation } = engine.report;
        const message = create(OrderRequestSchema, {
            ...order,
            bytes: BigInt(order.bytes),
            fence: fenceOf(fence.term, fence.index),
            incarnation,
        });
        const before = this.orderQueues.get(upstream) ?? Promise.resolve();
        this.orderQueues.set(upstream, before.then(() => this.deliver(upstream, url, message)));
    }

    private async deliver(upstream: string, url: string, order: OrderRequest): Promise<void> {
        try {
            const outcome = await this.dependencies.orders.send(url, order, orderTimeoutMs);
            if (outcome !== OrderOutcome.TAKEN && outcome !== OrderOutcome.UNCERTAIN) {
                this.markUnconfirmed(upstream, OrderOutcome[outcome]);
            }
        }
        catch (err) {
            this.markUnconfirmed(upstream, messageOf(err));
        }
    }

    private markUnconfirmed(upstream: string, reason: string): void {
        this.barrierDueAt.set(upstream, Date.now() + barrierDelayMs);
        this.dependencies.timeline.record("order.in-doubt", { detail: `${upstream}: ${reason}` });
    }
}
