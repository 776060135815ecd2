export * from "./origins.js";
