export * from "./all.js";
export * from "./policies.js";
export * from "./ratesimulations.js";
export * from "./simulatednetworks.js";
