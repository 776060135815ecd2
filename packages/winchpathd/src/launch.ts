/** The bundle's first script: holds signals back until the program handles them, and runs it. */
import { dirname } from "node:path";
import { loadProgram } from "./launchers.js";

let missed = 0;
const hold = () => {
    missed += 1;
};
process.on("SIGHUP", hold);
const { program } = loadProgram(dirname(process.argv[1]));
process.off("SIGHUP", hold);
if (missed > 0) {
    process.emit("SIGHUP");
}
void program.run(process.argv.slice(2));
