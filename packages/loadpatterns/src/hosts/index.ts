export * from "./simulatedhosts.js";
export * from "./unevenhosts.js";
