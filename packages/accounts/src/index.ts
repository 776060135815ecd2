export * from "./authenticators.js";
export * from "./counts.js";
export * from "./keyrings.js";
export * from "./limitbooks.js";
export * from "./limiters.js";
