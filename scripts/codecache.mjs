/**
 * Writes the V8 code cache of the bundled program. Run it with the program's own flags (`node FLAGS codecache.mjs`): V8
 * rejects a cache that was created with other flags.
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
