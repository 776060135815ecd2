export * from "./authenticators.js";
export * from "./counts.js";
export * from "./keyindexes.js";
export * from "./limitcoordinators.js";
export * from "./limiters.js";
