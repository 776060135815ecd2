export * from "./agents.js";
export * from "./controls.js";
export * from "./processes.js";
