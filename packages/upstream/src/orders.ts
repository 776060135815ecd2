/** The gate through which every order to the engine passes. */
import { Deferred, type Logger, logger, sleep } from "@winchpath/core";
import { type Timeline } from "@winchpath/timeline";
import { type OrderAnswer, type Upstream } from "./engines.js";
import { compareFences, fenceOf } from "./fences.js";
import { type Fence, OrderKind, OrderOutcome, type OrderRequest } from "./gen/winchpath/upstream/v1/upstream_pb.js";
import { type EngineOrder } from "./schemas.js";

const barrierRetryMs = 200;

const engineKinds = {
    [OrderKind.LOAD]: "load",
    [OrderKind.UNLOAD]: "unload",
    [OrderKind.BARRIER]: "barrier",
    [OrderKind.UNSPECIFIED]: "barrier",
} as const;

const outcomes: Readonly<Record<OrderAnswer, OrderOutcome>> = {
    taken: OrderOutcome.TAKEN,
    refused: OrderOutcome.REFUSED_BY_ENGINE,
    uncertain: OrderOutcome.UNCERTAIN,
};

/** What the gate has to know of the engine. */
export interface OrderGateOptions {
    readonly incarnation: string;
    readonly checksFence: boolean;
    /** Longest time for which an order may be under way to an engine that ignores fencing numbers. */
    readonly orderLifetimeMs: number;
}

/**
 * Refuses orders with an old fencing number, whether the engine does so or not,
 * and sends the others one at a time. An order whose answer was lost is settled
 * before the next: by a barrier where the engine checks the number, otherwise by
 * waiting until the order can no longer arrive.
 */
export class OrderGate {
    private newest: Fence = fenceOf(0, 0);
    private settledFence: Fence = fenceOf(0, 0);
    /** Lowest term that a majority of voters leaves possible; undefined until they were heard. */
    private confirmedTerm: bigint | undefined;
    private queue: Promise<unknown> = Promise.resolve();
    /** An earlier incarnation may have sent an order right before this one began. */
    private quarantineEnd: number;
    private readonly log: Logger = logger("upstream");

    public constructor(
        private readonly upstream: Upstream,
        private readonly options: OrderGateOptions,
        private readonly timeline: Timeline,
    ) {
        this.quarantineEnd = Date.now() + options.orderLifetimeMs;
    }

    /** Every order up to this one has taken effect, or never will. */
    public get settled(): Fence {
        return this.settledFence;
    }

    /** Takes in the newest term that a majority of the voters tells. */
    public confirmTerm(term: bigint): void {
        if (this.confirmedTerm === undefined || term > this.confirmedTerm) {
            this.confirmedTerm = term;
        }
    }

    /** Passes an order on, or says why not. */
    public async take(order: OrderRequest): Promise<OrderOutcome> {
        const fence = order.fence ?? fenceOf(0, 0);
        const refusal = this.refusalOf(order, fence);
        if (refusal !== undefined) {
            this.timeline.record("order.refused", {
                resource: order.item,
                detail: `fence=${fence.term}.${fence.index} ${OrderOutcome[refusal]}`,
            });
            return refusal;
        }
        this.newest = fence;
        const outcome = new Deferred<OrderOutcome>();
        this.queue = this.queue.then(() => this.deliver(order, fence, outcome));
        return outcome.promise;
    }

    private refusalOf(order: OrderRequest, fence: Fence): OrderOutcome | undefined {
        if (order.incarnation !== this.options.incarnation) {
            return OrderOutcome.INCARNATION;
        }
        if (this.confirmedTerm === undefined) {
            return OrderOutcome.UNCONFIRMED_TERM;
        }
        if (fence.term < this.confirmedTerm || compareFences(fence, this.newest) <= 0) {
            return OrderOutcome.FENCED;
        }
        return undefined;
    }

    /** Later orders wait until this one is settled; its sender only until the engine answers. */
    private async deliver(order: OrderRequest, fence: Fence, outcome: Deferred<OrderOutcome>): Promise<void> {
        if (fence.term < this.newest.term) {
            // A newer leader's order came while this one waited.
            outcome.resolve(OrderOutcome.FENCED);
            return;
        }
        if (order.kind === OrderKind.BARRIER) {
            // Its sender reads from the reports when it has settled.
            outcome.resolve(OrderOutcome.TAKEN);
            await this.settle(fence);
            return;
        }
        const answer = await this.upstream.order(engineOrder(order, fence));
        this.quarantineEnd = Date.now() + this.options.orderLifetimeMs;
        this.timeline.record("order.delivered", {
            resource: order.item,
            detail: `${engineKinds[order.kind]} on ${order.accelerator} fence=${fence.term}.${fence.index} ${answer}`,
        });
        outcome.resolve(outcomes[answer]);
        if (answer === "uncertain") {
            await this.settle(fence);
        }
        this.settledFence = fence;
    }

    /** Returns once no order up to `fence` can take effect any more. */
    private async settle(fence: Fence): Promise<void> {
        if (!this.options.checksFence) {
            await sleep(Math.max(0, this.quarantineEnd - Date.now()));
        }
        else {
            const barrier: EngineOrder = {
                fence: numbersOf(fence),
                kind: "barrier",
                accelerator: "",
                item: "",
                bytes: 0,
            };
            while (await this.upstream.order(barrier) === "uncertain") {
                this.log("barrier unanswered", { term: Number(fence.term), index: Number(fence.index) });
                await sleep(barrierRetryMs);
            }
        }
        this.settledFence = fence;
        this.timeline.record("order.settled", { detail: `fence=${fence.term}.${fence.index}` });
    }
}

function engineOrder(order: OrderRequest, fence: Fence): EngineOrder {
    return {
        fence: numbersOf(fence),
        kind: engineKinds[order.kind],
        accelerator: order.accelerator,
        item: order.item,
        bytes: Number(order.bytes),
    };
}

function numbersOf(fence: Fence): { term: number; index: number; } {
    return { term: Number(fence.term), index: Number(fence.index) };
}
