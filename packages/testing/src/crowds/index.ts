export * from "./crowds.js";
export * from "./schemas.js";
