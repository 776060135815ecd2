export * from "./availabilities.js";
export * from "./leavers.js";
export * from "./rests.js";
