export * from "./files.js";
export {
    type AppendRequest,
    type AppendResponse,
    ConsensusService,
    type Member,
    type ProbeResponse,
    type VoteRequest,
    type VoteResponse,
} from "./gen/winchpath/consensus/v1/consensus_pb.js";
export * from "./machines.js";
export * from "./memory.js";
export * from "./peerdiscoveries.js";
export * from "./peers.js";
export * from "./records.js";
export * from "./replicas.js";
export * from "./services.js";
export * from "./states.js";
export * from "./stores.js";
export * from "./supervisors.js";
