/** RPC service for demand reports, and RPC client for orders. */
import { type ServiceImpl } from "@connectrpc/connect";
import { type RpcClients } from "@winchpath/rpc";
import { AgentService, type OrderOutcome, type OrderRequest } from "@winchpath/upstream";
import { type OrderSender } from "./controllers.js";
import { type DemandTracker } from "./demandtrackers.js";
import { type PlacementService } from "./gen/winchpath/placement/v1/placement_pb.js";

export function placementService(demand: DemandTracker): ServiceImpl<typeof PlacementService> {
    return {
        reportDemand: req => {
            demand.record(req);
            return {};
        },
    };
}

export class RpcOrderSender implements OrderSender {
    public constructor(private readonly clients: RpcClients) {}

    public async send(url: string, order: OrderRequest, timeoutMs: number): Promise<OrderOutcome> {
        return (await this.clients.client(AgentService, url).order(order, { timeoutMs })).outcome;
    }
}
