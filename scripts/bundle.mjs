/**
 * Builds the platform's program under target/, straight from the sources: it
 * loads in a fraction of the time. What only one role needs stands in a file of
 * its own, and names are kept, so that stack traces in logs can be read.
 */
import { build } from "esbuild";
import { existsSync, rmSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const root = join(dirname(fileURLToPath(import.meta.url)), "..");

/** Resolves the workspace's own packages to their sources. */
const workspace = {
    name: "workspace",
    setup(bundle) {
        bundle.onResolve({ filter: /^@winchpath\// }, ({ path }) => {
            const name = path.slice("@winchpath/".length);
            const folder = name === "platform" ? join(root, name) : join(root, "packages", name);
            // Nothing here acts at its import but the program's own first module, so what is not used can go.
            return { path: join(folder, "src", "index.ts"), sideEffects: false };
        });
        bundle.onResolve({ filter: /^\.\.?\/.*\.js$/ }, ({ path, resolveDir }) => {
            const source = join(resolveDir, path.replace(/\.js$/, ".ts"));
            const acts = source.endsWith("/signals.ts") || source.endsWith("/daemons.ts");
            return existsSync(source) ? { path: source, sideEffects: acts } : undefined;
        });
        // It is CommonJS behind a flag of ES modules, by which its default export would be lost.
        bundle.onResolve({ filter: /^ts-results$/ }, ({ path }) => ({ path, namespace: "default-export" }));
        bundle.onLoad({ filter: /.*/, namespace: "default-export" }, () => ({
            contents: "import * as all from \"./node_modules/ts-results/esm/index.js\"; export default all;",
            resolveDir: root,
        }));
    },
};

rmSync(join(root, "target/parts"), { recursive: true, force: true });
await build({
    entryPoints: { winchpathd: join(root, "packages/winchpathd/src/main.ts") },
    outdir: join(root, "target"),
    outExtension: { ".js": ".mjs" },
    chunkNames: "parts/[name]-[hash]",
    bundle: true,
    splitting: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minifyWhitespace: true,
    minifySyntax: true,
    sourcemap: false,
    legalComments: "none",
    // CommonJS libraries in the bundle ask for Node.js's own modules by require.
    banner: {
        js: "import { createRequire as makeRequire } from \"node:module\"; const require = makeRequire(import.meta.url);",
    },
    plugins: [workspace],
    logLevel: "warning",
});
