export * from "./agents.js";
export * from "./controls.js";
export * from "./platformcontrols.js";
export * from "./platformentries.js";
export * from "./platformprocesses.js";
export * from "./platformsettings.js";
export * from "./processes.js";
