/** Runs one stand-in as a process: `main.js KIND ADDRESS PORT [OPTIONS as JSON]`. */
import { defaultEngineOptions, StandInEngine } from "./engines.js";
import { StandInService } from "./services.js";
import { StandInStore, type StoreOptions } from "./stores.js";

const [kind, address, port, json = "{}"] = process.argv.slice(2);
const options = JSON.parse(json) as object;

const standIn = kind === "engine"
    ? new StandInEngine({ ...defaultEngineOptions, ...options })
    : kind === "service"
    ? new StandInService()
    : new StandInStore(options as StoreOptions);

const url = await standIn.listen(Number(port), address);
process.stdout.write(`${kind} stand-in is ready: ${url}\n`);
process.on("SIGTERM", () => process.exit(0));
