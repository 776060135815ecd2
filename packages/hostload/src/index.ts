export * from "./connectionlimiters.js";
export * from "./hostlimits.js";
export * from "./hostloads.js";
export * from "./hysteresis.js";
export * from "./processusages.js";
export * from "./slowreaders.js";
