export * from "./all.js";
export * from "./failingsimulations.js";
export * from "./pacedupstreams.js";
export * from "./policies.js";
export * from "./unevensimulations.js";
