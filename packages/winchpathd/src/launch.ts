/** Entry point of the bundle: defers SIGHUP while the program loads, then runs it. */
import { dirname } from "node:path";
import { loadProgram } from "./launchers.js";

let pendingSignals = 0;
const countSignal = () => {
    pendingSignals += 1;
};
process.on("SIGHUP", countSignal);
const { program } = loadProgram(dirname(process.argv[1]));
process.off("SIGHUP", countSignal);
if (pendingSignals > 0) {
    process.emit("SIGHUP");
}
void program.run(process.argv.slice(2));
