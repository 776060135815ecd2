export * from "./ejections.js";
export * from "./loads.js";
export * from "./pickers.js";
export * from "./replicas.js";
export * from "./routers.js";
export * from "./tables.js";
