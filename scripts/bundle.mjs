/** Builds the platform's program as one file under target/, straight from the sources: it loads in a fraction of the time. */
import { build } from "esbuild";
import { existsSync } from "node:fs";
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
            return { path: join(folder, "src", "index.ts") };
        });
        bundle.onResolve({ filter: /^\.\.?\/.*\.js$/ }, ({ path, resolveDir }) => {
            const source = join(resolveDir, path.replace(/\.js$/, ".ts"));
            return existsSync(source) ? { path: source } : undefined;
        });
        // It is CommonJS behind a flag of ES modules, by which its default export would be lost.
        bundle.onResolve({ filter: /^ts-results$/ }, ({ path }) => ({ path, namespace: "default-export" }));
        bundle.onLoad({ filter: /.*/, namespace: "default-export" }, () => ({
            contents: "import * as all from \"./node_modules/ts-results/esm/index.js\"; export default all;",
            resolveDir: root,
        }));
    },
};

await build({
    entryPoints: [join(root, "packages/winchpathd/src/main.ts")],
    outfile: join(root, "target/winchpathd.mjs"),
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minify: false,
    sourcemap: false,
    legalComments: "none",
    // CommonJS libraries in the bundle ask for Node.js's own modules by require.
    banner: {
        js: "import { createRequire as makeRequire } from \"node:module\"; const require = makeRequire(import.meta.url);",
    },
    plugins: [workspace],
    logLevel: "warning",
});
