/** Writes what a script saw to record.txt in its folder. */
import { appendFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

export function openRecord(folder) {
    const file = join(folder, "record.txt");
    const start = performance.now();
    writeFileSync(file, "");
    return text => appendFileSync(file, `${((performance.now() - start) / 1000).toFixed(3).padStart(8)} s  ${text}\n`);
}
