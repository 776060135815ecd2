/** The leader's task: compares what is declared with what is there, and orders the difference. */
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
import { type DemandBook } from "./demands.js";
import { type Ledger } from "./ledgers.js";
import { LoadPace } from "./paces.js";
import { reconcile } from "./reconciliations.js";
import { type FencingNumber, type LedgerCommand, type LedgerResult } from "./schemas.js";
import { acceleratorViews, type Action, type Placer } from "./views.js";

const roundMs = 200;
const orderTimeoutMs = 3000;
/** Pause before a barrier is sent to an upstream that refused or lost an order. */
const doubtMs = 500;

/** The control log, as this slice needs it. */
export interface LedgerLog {
    /** The term that this process leads, once it has applied all that came before; undefined where it does not. */
    readonly leadingTerm: number | undefined;
    /** Commits a command as the leader. */
    propose(command: LedgerCommand): Promise<LedgerResult>;
}

/** Sends orders to agents. */
export interface OrderSender {
    send(url: string, order: OrderRequest, timeoutMs: number): Promise<OrderOutcome>;
}

export interface ControllerParts {
    readonly log: LedgerLog;
    readonly ledger: Ledger;
    readonly registrar: Registrar;
    readonly orders: OrderSender;
    readonly placer: Placer;
    readonly demand: DemandBook;
    readonly catalogue: () => Catalogue;
    readonly timeline: Timeline;
    readonly moveCost: number;
    readonly storeRate: number;
    readonly storeConcurrency: number;
}

export class PlacementController {
    /** Notify it when declarations, upstreams or leadership have changed. */
    public readonly wake = new Notifier();
    private readonly pace: LoadPace;
    private readonly log: Logger = logger("placement");
    /** Upstreams with an order whose delivery is in doubt, and the time from which on a new barrier may settle it. */
    private readonly doubtful = new Map<string, number>();
    /** Ends of each upstream's queue of orders. */
    private readonly queues = new Map<string, Promise<void>>();

    public constructor(private readonly parts: ControllerParts) {
        this.pace = new LoadPace(parts.storeRate, parts.storeConcurrency);
    }

    /** Runs until the signal is aborted; does nothing while another process leads. */
    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.wake.wait(roundMs);
            const term = this.parts.log.leadingTerm;
            if (term === undefined || signal.aborted) {
                this.doubtful.clear();
                continue;
            }
            try {
                await this.round(term);
            }
            catch (err) {
                this.log("round failed", { error: messageOf(err) });
            }
        }
    }

    private async round(term: number): Promise<void> {
        const engines = this.parts.registrar.live().filter(({ report }) => report.service === "engine");
        await this.registerNew(engines, term);
        await this.settle(engines, term);
        await this.order(engines, term);
    }

    /** A new incarnation, a new term or a doubt: the upstream is registered anew and has to pass a barrier. */
    private async registerNew(engines: readonly LiveUpstream[], term: number): Promise<void> {
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
        due.forEach(({ report }) => this.doubtful.delete(report.upstream));
        const result = await this.parts.log.propose({ op: "register", upstreams });
        if (result.tag === "ordered") {
            due.forEach(engine => {
                this.send(engine, result.fence, { kind: OrderKind.BARRIER, accelerator: "", item: "", bytes: 0 });
            });
        }
    }

    private needsBarrier({ report }: LiveUpstream, term: number): boolean {
        const known = this.parts.ledger.upstream(report.upstream);
        return known?.incarnation !== report.incarnation || known.fence.term < term
            || (this.doubtful.get(report.upstream) ?? Number.POSITIVE_INFINITY) <= Date.now();
    }

    /** Writes down what the engines' reports have shown. */
    private async settle(engines: readonly LiveUpstream[], term: number): Promise<void> {
        const settled = engines.filter(engine => this.hasPassedBarrier(engine, term));
        const found = settled.map(engine => reconcile(this.parts.ledger.heldBy(engine.report.upstream), engine.report));
        const settlements = found.flatMap(each => each.settlements);
        const adoptions = found.flatMap(each => each.adoptions);
        if (settlements.length + adoptions.length > 0) {
            await this.parts.log.propose({ op: "settle", settlements, adoptions });
            settlements.forEach(({ upstream, accelerator, item, found: state }) => {
                this.parts.timeline.record("ledger.settled", {
                    resource: item,
                    detail: `${state} on ${upstream}/${accelerator}`,
                });
            });
        }
    }

    private hasPassedBarrier({ report }: LiveUpstream, term: number): boolean {
        const known = this.parts.ledger.upstream(report.upstream);
        if (known?.incarnation !== report.incarnation || known.fence.term < term || !report.stateKnown) {
            return false;
        }
        const settled = report.settled ?? fenceOf(0, 0);
        return compareFences(settled, fenceOf(known.fence.term, known.fence.index)) >= 0;
    }

    private async order(engines: readonly LiveUpstream[], term: number): Promise<void> {
        const { ledger, catalogue, demand, moveCost, placer } = this.parts;
        const orderable = (engine: LiveUpstream) => this.hasPassedBarrier(engine, term);
        const view = {
            catalogue: catalogue(),
            accelerators: acceleratorViews(ledger, engines, catalogue().drained, orderable),
            demand: demand.current(),
            moveCost,
        };
        for (const action of placer.plan(view)) {
            const engine = engines.find(({ report }) => report.upstream === action.upstream);
            if (engine === undefined || !orderable(engine) || !this.mayBegin(action)) {
                continue;
            }
            await this.carryOut(engine, action);
        }
    }

    private mayBegin(action: Action): boolean {
        const loading = this.parts.ledger.list().filter(holding => holding.state === "loading").length;
        return action.kind === "unload" || this.pace.take(loading);
    }

    /** The ledger first, and only then the order. */
    private async carryOut(engine: LiveUpstream, action: Action): Promise<void> {
        const { upstream, accelerator, item, bytes, kind } = action;
        const { incarnation } = engine.report;
        const command: LedgerCommand = kind === "load"
            ? { op: "load", upstream, accelerator, item, bytes, incarnation }
            : { op: "unload", upstream, accelerator, item, incarnation };
        const result = await this.parts.log.propose(command);
        const detail = `${kind} on ${upstream}/${accelerator}: ${action.reason}`;
        if (result.tag === "refused") {
            this.parts.timeline.record("ledger.refused", { resource: item, detail: `${detail}; ${result.reason}` });
            return;
        }
        this.parts.timeline.record("order.decided", { resource: item, detail });
        const order = kind === "load" ? OrderKind.LOAD : OrderKind.UNLOAD;
        this.send(engine, result.fence, { kind: order, accelerator, item, bytes });
    }

    /** Puts an order into its upstream's queue: fencing numbers have to arrive in order. */
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
        const before = this.queues.get(upstream) ?? Promise.resolve();
        this.queues.set(upstream, before.then(() => this.deliver(upstream, url, message)));
    }

    private async deliver(upstream: string, url: string, order: OrderRequest): Promise<void> {
        try {
            const outcome = await this.parts.orders.send(url, order, orderTimeoutMs);
            if (outcome !== OrderOutcome.TAKEN && outcome !== OrderOutcome.UNCERTAIN) {
                this.doubt(upstream, OrderOutcome[outcome]);
            }
        }
        catch (err) {
            this.doubt(upstream, messageOf(err));
        }
    }

    private doubt(upstream: string, why: string): void {
        this.doubtful.set(upstream, Date.now() + doubtMs);
        this.parts.timeline.record("order.in-doubt", { detail: `${upstream}: ${why}` });
    }
}
