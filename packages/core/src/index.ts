export * from "./errors.js";
export * from "./histograms.js";
export * from "./logs.js";
export * from "./names.js";
export * from "./results.js";
export * from "./schemas.js";
export * from "./tasks.js";
export * from "./units.js";
