/** Runs one mock upstream as a process: `main.js KIND ADDRESS PORT [OPTIONS_JSON]`. */
import { defaultEngineOptions, MockEngine } from "./engines.js";
import { MockService } from "./services.js";
import { MockWeightStore, type WeightStoreOptions } from "./stores.js";

const [kind, address, port, json = "{}"] = process.argv.slice(2);
const options = JSON.parse(json) as object;

const mock = kind === "engine"
    ? new MockEngine({ ...defaultEngineOptions, ...options })
    : kind === "service"
    ? new MockService()
    : new MockWeightStore(options as WeightStoreOptions);

const url = await mock.listen(Number(port), address);
process.stdout.write(`${kind} stand-in is ready: ${url}\n`);
process.on("SIGTERM", () => process.exit(0));
