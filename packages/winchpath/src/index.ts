export * from "./clients.js";
export * from "./contexts.js";
export * from "./differences.js";
export * from "./tables.js";
