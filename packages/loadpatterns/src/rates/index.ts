export * from "./all.js";
export * from "./plays.js";
export * from "./policies.js";
export * from "./posts.js";
