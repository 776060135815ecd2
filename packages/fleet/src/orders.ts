/** Orders to engines, the replies to them, and the client interface that sends them. */
import { type HeldModel, type Upstream } from "./gen/winchpath/fleet/v1/fleet_pb.js";

/** Loads or unloads a model, or one of its adapters if `adapter` is not empty. */
export interface EngineOrder {
    readonly kind: "load" | "unload";
    readonly model: string;
    readonly adapter: string;
}

/** Fencing token of an order's sender. An engine rejects tokens lower than the highest it has seen. */
export interface Fence {
    readonly holder: string;
    readonly token: number;
}

/** Result of sending an order. */
export const OrderReply = {
    /** The order is in progress. */
    accepted: "accepted",
    /** The requested state is already reached. */
    done: "holds",
    /** Another order is in progress, or the engine has not accepted the expected number of orders. */
    conflict: "conflict",
    /** The engine has seen a higher fencing token. */
    fenced: "fenced",
    /** The order can't be executed, or the engine has been replaced by another. */
    refused: "refused",
    /** The engine refused the connection, so the order was not sent. */
    unreachable: "unreachable",
    /** No answer: the order may have been accepted, or may still be. */
    unknown: "unknown",
} as const;
export type OrderReply = typeof OrderReply[keyof typeof OrderReply];

/** State of an engine, up to some hundred milliseconds old. */
export interface EngineReport {
    /** Number of orders that the engine has accepted since its start. */
    readonly orders: number;
    readonly models: readonly HeldModel[];
    /** Whether a model is being loaded or unloaded. */
    readonly busy: boolean;
}

/** Client for engines. Its methods don't reject: failures are part of the result. */
export interface EngineClient {
    sendOrder(upstream: Upstream, order: EngineOrder, expected: number, fence: Fence): Promise<OrderReply>;
    /** Returns undefined if no report could be fetched. */
    fetchReport(upstream: Upstream): Promise<EngineReport | undefined>;
    /** How long the engine has asked this host to back off, in milliseconds; 0 if it takes orders. */
    backoffMs(upstream: Upstream): number;
}

export function describeOrder(order: EngineOrder): string {
    return `${order.kind} ${order.model}${order.adapter === "" ? "" : `/${order.adapter}`}`;
}
