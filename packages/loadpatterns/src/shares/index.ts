export * from "./all.js";
export * from "./deficitrounds.js";
export * from "./entries.js";
export * from "./scenarios.js";
export * from "./upstreampools.js";
