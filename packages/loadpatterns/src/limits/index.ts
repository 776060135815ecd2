export * from "./all.js";
export * from "./policies.js";
export * from "./scenarios.js";
