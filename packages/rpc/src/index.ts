export * from "./clients.js";
export * from "./interceptors.js";
export * from "./servers.js";
