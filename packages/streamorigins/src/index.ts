export { StreamOriginService } from "./gen/winchpath/streamorigins/v1/streamorigins_pb.js";
export * from "./originrecordstores.js";
export * from "./origins.js";
export * from "./originservices.js";
export * from "./streamoriginclients.js";
