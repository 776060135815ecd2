export * from "./engineloads.js";
export * from "./enginepaces.js";
export * from "./enginesteps.js";
export * from "./interferences.js";
export * from "./prefixcaches.js";
export * from "./prefixhomes.js";
export * from "./promptsizes.js";
export * from "./recentcounts.js";
