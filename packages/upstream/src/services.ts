/** RPC services of the agent and of the control hosts' registrar. */
import { type ServiceImpl } from "@connectrpc/connect";
import { type Agent } from "./agents.js";
import {
    type AgentService,
    FenceOutcome,
    type RegistrarService,
    type ReportResponse,
} from "./gen/winchpath/upstream/v1/upstream_pb.js";
import { type Registrar } from "./registrars.js";

export function createAgentService(agent: Agent): ServiceImpl<typeof AgentService> {
    return {
        run: req => agent.runner.run(req),
        fence: req => {
            if (req.incarnation !== agent.incarnation) {
                return { outcome: FenceOutcome.FORGOTTEN };
            }
            return { outcome: agent.fence(req.requestId, req.attempt, req.seenReport) };
        },
        cancel: req => {
            agent.runner.cancel(req.requestId, req.attempt);
            return {};
        },
        order: async req => ({ outcome: await agent.orderGate.forward(req) }),
    };
}

/** Creates the response to an agent that knows declarations up to `knownRevision`. */
export type ReportResponder = (knownRevision: number) => Omit<ReportResponse, "$typeName" | "$unknown">;

export function createRegistrarService(
    registrar: Registrar,
    answer: ReportResponder,
): ServiceImpl<typeof RegistrarService> {
    return {
        report: req => {
            registrar.receive(req);
            return answer(Number(req.knownRevision));
        },
    };
}
