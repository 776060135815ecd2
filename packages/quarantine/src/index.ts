export * from "./crashbooks.js";
export * from "./fingerprints.js";
export * from "./lists.js";
