export * from "./ejections.js";
export * from "./loadtrackers.js";
export * from "./paces.js";
export * from "./pickers.js";
export * from "./replicas.js";
export * from "./routers.js";
export * from "./routingtables.js";
