/**
 * Starts the bundled program from its code cache: at a share of a core, compiling
 * it anew takes longer than everything else at a start. `node winchpathd.cjs ARGS`
 * runs the program beside it; a cache of another release of Node.js is passed over.
 */
import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";
import { Script } from "node:vm";
import { type loadAll, type run } from "./programs.js";

/** The program and its cache, beside the launcher. */
export const programFile = "program.cjs";
export const cacheFile = "program.cache";

interface Program {
    readonly run: typeof run;
    readonly loadAll: typeof loadAll;
}

/** Reads and executes the program, with what its cache holds compiled already. */
export function loadProgram(folder: string): { readonly program: Program; readonly script: Script; } {
    const file = join(folder, programFile);
    // The parameters of Node.js's own wrapper of CommonJS modules.
    const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(file, "utf8")}\n})`;
    const script = new Script(source, { filename: file, cachedData: readCache(folder) });
    const module = { exports: {} as Program };
    const define = script.runInThisContext() as (...args: unknown[]) => void;
    define(module.exports, createRequire(file), module, file, folder);
    return { program: module.exports, script };
}

function readCache(folder: string): Buffer | undefined {
    try {
        return readFileSync(join(folder, cacheFile));
    }
    catch {
        // Without one the program is compiled anew, and runs all the same.
        return undefined;
    }
}
