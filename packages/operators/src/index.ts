export * from "./changes.js";
export * from "./eventcollectors.js";
export * from "./openapi.js";
export * from "./schemas.js";
export * from "./servers.js";
export * from "./statuses.js";
export * from "./watches.js";
