/** Forwards orders to the engine, one at a time and fenced against former leaders. */
import { Deferred, type Logger, logger, sleep } from "@winchpath/core";
import { type Timeline } from "@winchpath/timeline";
import { type EngineOrder } from "./engineschemas.js";
import { compareFences, fenceOf } from "./fences.js";
import { type Fence, OrderKind, OrderOutcome, type OrderRequest } from "./gen/winchpath/upstream/v1/upstream_pb.js";
import { type OrderResult, type Upstream } from "./upstreams.js";

const barrierRetryDelayMs = 200;

const orderKinds = {
    [OrderKind.LOAD]: "load",
    [OrderKind.UNLOAD]: "unload",
    [OrderKind.BARRIER]: "barrier",
    [OrderKind.UNSPECIFIED]: "barrier",
} as const;

const outcomeByResult: Readonly<Record<OrderResult, OrderOutcome>> = {
    taken: OrderOutcome.TAKEN,
    refused: OrderOutcome.REFUSED_BY_ENGINE,
    uncertain: OrderOutcome.UNCERTAIN,
};

export interface OrderGateOptions {
    readonly incarnation: string;
    /** Whether the engine itself rejects orders with an outdated fencing token. */
    readonly checksFence: boolean;
    /** Longest time that an order can be in flight to an engine that does not check fencing tokens. */
    readonly orderLifetimeMs: number;
}

/**
 * Refuses orders with an outdated fencing token, whether or not the engine
 * checks it, and sends the others one at a time. An order with an uncertain
 * result is settled before the next one is sent: by a barrier if the engine
 * checks the token, otherwise by waiting until the order can no longer arrive.
 */
export class OrderGate {
    private newestFence: Fence = fenceOf(0, 0);
    private settledFence: Fence = fenceOf(0, 0);
    /** Orders of lower terms are refused; undefined until a majority of the voters has confirmed a term. */
    private confirmedTerm: bigint | undefined;
    private queue: Promise<unknown> = Promise.resolve();
    /** Until then an order may still be in flight; an earlier incarnation may have sent one just before this one started. */
    private inFlightUntil: number;
    private readonly log: Logger = logger("upstream");

    public constructor(
        private readonly upstream: Upstream,
        private readonly options: OrderGateOptions,
        private readonly timeline: Timeline,
    ) {
        this.inFlightUntil = Date.now() + options.orderLifetimeMs;
    }

    /** Newest fencing token up to which every order has either taken effect or never will. */
    public get settled(): Fence {
        return this.settledFence;
    }

    /** Raises the confirmed term to the newest one reported by a majority of the voters. */
    public confirmTerm(term: bigint): void {
        if (this.confirmedTerm === undefined || term > this.confirmedTerm) {
            this.confirmedTerm = term;
        }
    }

    /** Sends an order to the engine, or returns why it was refused. */
    public async forward(order: OrderRequest): Promise<OrderOutcome> {
        const fence = order.fence ?? fenceOf(0, 0);
        const refusal = this.findRefusal(order, fence);
        if (refusal !== undefined) {
            this.timeline.record("order.refused", {
                resource: order.item,
                detail: `fence=${fence.term}.${fence.index} ${OrderOutcome[refusal]}`,
            });
            return refusal;
        }
        this.newestFence = fence;
        const outcome = new Deferred<OrderOutcome>();
        this.queue = this.queue.then(() => this.deliver(order, fence, outcome));
        return outcome.promise;
    }

    private findRefusal(order: OrderRequest, fence: Fence): OrderOutcome | undefined {
        if (order.incarnation !== this.options.incarnation) {
            return OrderOutcome.INCARNATION;
        }
        if (this.confirmedTerm === undefined) {
            return OrderOutcome.UNCONFIRMED_TERM;
        }
        if (fence.term < this.confirmedTerm || compareFences(fence, this.newestFence) <= 0) {
            return OrderOutcome.FENCED;
        }
        return undefined;
    }

    /** Resolves `outcome` when the engine responds; the queue waits until the order is settled. */
    private async deliver(order: OrderRequest, fence: Fence, outcome: Deferred<OrderOutcome>): Promise<void> {
        if (fence.term < this.newestFence.term) {
            // A newer leader's order arrived while this one was queued.
            outcome.resolve(OrderOutcome.FENCED);
            return;
        }
        if (order.kind === OrderKind.BARRIER) {
            // The sender learns from the agent's reports when the barrier has settled.
            outcome.resolve(OrderOutcome.TAKEN);
            await this.settle(fence);
            return;
        }
        const result = await this.upstream.order(toEngineOrder(order, fence));
        this.inFlightUntil = Date.now() + this.options.orderLifetimeMs;
        this.timeline.record("order.delivered", {
            resource: order.item,
            detail: `${orderKinds[order.kind]} on ${order.accelerator} fence=${fence.term}.${fence.index} ${result}`,
        });
        outcome.resolve(outcomeByResult[result]);
        if (result === "uncertain") {
            await this.settle(fence);
        }
        this.settledFence = fence;
    }

    /** Resolves once no order up to `fence` can take effect any more. */
    private async settle(fence: Fence): Promise<void> {
        if (!this.options.checksFence) {
            await sleep(Math.max(0, this.inFlightUntil - Date.now()));
        }
        else {
            const barrier: EngineOrder = {
                fence: toEngineFence(fence),
                kind: "barrier",
                accelerator: "",
                item: "",
                bytes: 0,
            };
            while (await this.upstream.order(barrier) === "uncertain") {
                this.log("barrier got no response, retrying", { term: Number(fence.term), index: Number(fence.index) });
                await sleep(barrierRetryDelayMs);
            }
        }
        this.settledFence = fence;
        this.timeline.record("order.settled", { detail: `fence=${fence.term}.${fence.index}` });
    }
}

function toEngineOrder(order: OrderRequest, fence: Fence): EngineOrder {
    return {
        fence: toEngineFence(fence),
        kind: orderKinds[order.kind],
        accelerator: order.accelerator,
        item: order.item,
        bytes: Number(order.bytes),
    };
}

function toEngineFence(fence: Fence): { term: number; index: number; } {
    return { term: Number(fence.term), index: Number(fence.index) };
}
