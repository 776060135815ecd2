/**
 * Loads the bundled program with its V8 code cache, since compilation dominates startup
 * on a fraction of a core. V8 rejects a cache made by another version of Node.js.
 */
import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";
import { Script } from "node:vm";
import { type loadAll, type run } from "./programs.js";

/** Names of the program and its code cache, in the launcher's folder. */
export const programFile = "program.cjs";
export const cacheFile = "program.cache";

interface Program {
    readonly run: typeof run;
    readonly loadAll: typeof loadAll;
}

/** Evaluates the program as a CommonJS module, using the code cache if it is valid. */
export function loadProgram(folder: string): { readonly program: Program; readonly script: Script; } {
    const file = join(folder, programFile);
    // Same wrapper as Node.js puts around CommonJS modules.
    const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(file, "utf8")}\n})`;
    const script = new Script(source, { filename: file, cachedData: readCache(folder) });
    const module = { exports: {} as Program };
    const execute = script.runInThisContext() as (...args: unknown[]) => void;
    execute(module.exports, createRequire(file), module, file, folder);
    return { program: module.exports, script };
}

function readCache(folder: string): Buffer | undefined {
    try {
        return readFileSync(join(folder, cacheFile));
    }
    catch {
        // The cache is optional: without it the program is compiled at startup.
        return undefined;
    }
}
