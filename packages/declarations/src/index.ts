export * from "./accounts.js";
export * from "./catalogues.js";
export * from "./configurations.js";
export * from "./configurationstates.js";
export * from "./declarationstates.js";
export * from "./features.js";
export * from "./manifests.js";
export * from "./schemas.js";
