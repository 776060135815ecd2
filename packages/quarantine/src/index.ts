export * from "./commands.js";
export * from "./crashbooks.js";
export * from "./crashwatches.js";
export * from "./fingerprints.js";
export * from "./lists.js";
export * from "./probes.js";
export * from "./standings.js";
export * from "./suspicions.js";
