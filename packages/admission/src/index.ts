export * from "./loadwaits.js";
export * from "./waitbounds.js";
