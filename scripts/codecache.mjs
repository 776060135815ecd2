/**
 * Writes the code cache of the bundled program: `node FLAGS codecache.mjs`, with the
 * flags that the program is run with, since a cache holds for those only.
 */
import { writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const target = join(dirname(fileURLToPath(import.meta.url)), "../target");
const { cacheFile, loadProgram } = createRequire(import.meta.url)(join(target, "launchers.cjs"));
const { program, script } = loadProgram(target);
await program.loadAll();
writeFileSync(join(target, cacheFile), script.createCachedData());
process.exit(0);
