export * from "./clients.js";
export * from "./errors.js";
export * from "./interceptors.js";
export * from "./servers.js";
