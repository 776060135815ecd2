/** Orders to engines: what is asked, what an engine may answer, and how it is reached. */
import { type HeldModel, type Upstream } from "./gen/winchpath/fleet/v1/fleet_pb.js";

/** Loads or unloads a model, or one of its adapters where `adapter` is not empty. */
export interface EngineOrder {
    readonly kind: "load" | "unload";
    readonly model: string;
    readonly adapter: string;
}

/** Who gives an order: an engine refuses one with a lower token than it has seen. */
export interface Fence {
    readonly holder: string;
    readonly token: number;
}

/** What came of sending an order. */
export const OrderReply = {
    /** It is being carried out. */
    accepted: "accepted",
    /** What it asks for is so already. */
    holds: "holds",
    /** Another order is under way, or the engine has accepted others than it was told. */
    conflict: "conflict",
    /** Somebody with a higher token gives orders now. */
    fenced: "fenced",
    /** It can't be carried out at all, or the engine is another one by now. */
    refused: "refused",
    /** The engine refuses connections: it was not sent. */
    unreachable: "unreachable",
    /** No answer: it may have been accepted, and may still be carried out. */
    unknown: "unknown",
} as const;
export type OrderReply = typeof OrderReply[keyof typeof OrderReply];

/** How an engine stands, as of some hundred milliseconds before. */
export interface EngineReport {
    /** Number of orders that it has accepted since its start. */
    readonly orders: number;
    readonly models: readonly HeldModel[];
    /** Whether a model is being loaded or unloaded. */
    readonly busy: boolean;
}

/** Calls to engines. Neither fails: what went wrong is in the answer. */
export interface EngineCalls {
    order(upstream: Upstream, order: EngineOrder, expected: number, fence: Fence): Promise<OrderReply>;
    /** Undefined where no report could be had. */
    report(upstream: Upstream): Promise<EngineReport | undefined>;
    /** For how long an engine wants nothing from this host, in milliseconds; 0 where it takes orders. */
    restMs(upstream: Upstream): number;
}

export function describeOrder(order: EngineOrder): string {
    return `${order.kind} ${order.model}${order.adapter === "" ? "" : `/${order.adapter}`}`;
}
