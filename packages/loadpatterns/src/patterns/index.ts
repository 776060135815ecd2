export * from "./all.js";
export * from "./contendedcapacity.js";
export * from "./failingengines.js";
export * from "./limitedengines.js";
export * from "./movingdemand.js";
export * from "./patterns.js";
export * from "./raremodels.js";
export * from "./risingmodels.js";
