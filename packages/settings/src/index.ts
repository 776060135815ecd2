export * from "./schemas.js";
export * from "./settings.js";
