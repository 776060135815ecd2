export * from "./deployments/controlhistories.js";
export * from "./deployments/deployments.js";
export * from "./deployments/ports.js";
export * from "./deployments/processes.js";
export * from "./standins/callers.js";
export * from "./standins/engines.js";
export * from "./standins/services.js";
export * from "./standins/stores.js";
