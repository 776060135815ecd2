export * from "./availabilities.js";
export * from "./backoffs.js";
export * from "./draintrackers.js";
export * from "./ratecoordinators.js";
export * from "./ratelimits.js";
export * from "./unsupportednames.js";
