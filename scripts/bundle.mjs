/**
 * Bundles the platform's program from the sources into target/, with a V8 code cache. Modules that only one role needs
 * run only in that role. Identifiers are not minified, so that stack traces stay readable.
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { existsSync, rmSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const root = join(dirname(fileURLToPath(import.meta.url)), "..");

/** Resolves workspace packages to their TypeScript sources. */
const workspace = {
    name: "workspace",
    setup(bundle) {
        bundle.onResolve({ filter: /^@winchpath\// }, ({ path }) => {
            const name = path.slice("@winchpath/".length);
            const folder = name === "platform" ? join(root, name) : join(root, "packages", name);
            // Packages have no side effects on import, so unused modules can be dropped.
            return { path: join(folder, "src", "index.ts"), sideEffects: false };
        });
        bundle.onResolve({ filter: /^\.\.?\/.*\.js$/ }, ({ path, resolveDir }) => {
            const source = join(resolveDir, path.replace(/\.js$/, ".ts"));
            const acts = source.endsWith("/signals.ts") || source.endsWith("/launch.ts");
            return existsSync(source) ? { path: source, sideEffects: acts } : undefined;
        });
        // ts-results is CommonJS marked as an ES module; without this, its default export is lost.
        bundle.onResolve({ filter: /^ts-results$/ }, ({ path }) => ({ path, namespace: "default-export" }));
        bundle.onLoad({ filter: /.*/, namespace: "default-export" }, () => ({
            contents: "import * as all from \"./node_modules/ts-results/esm/index.js\"; export default all;",
            resolveDir: root,
        }));
    },
};

/**
 * Replacements for large libraries that expose only the parts in use, to shorten the start: undici without fetch, caches
 * and WebSockets, the histograms without log readers and writers, and no JSON schema compilers, as no route has a schema.
 */
const usedParts = {
    "undici": `
        const Dispatcher = require("./node_modules/undici/lib/dispatcher/dispatcher.js");
        Dispatcher.prototype.request = require("./node_modules/undici/lib/api/api-request.js");
        exports.Agent = require("./node_modules/undici/lib/dispatcher/agent.js");
        exports.Pool = require("./node_modules/undici/lib/dispatcher/pool.js");
        exports.buildConnector = require("./node_modules/undici/lib/core/connect.js");`,
    "hdr-histogram-js": `
        exports.build = require("./node_modules/hdr-histogram-js/dist/HistogramBuilder.js").build;`,
    "@fastify/ajv-compiler": "",
    "@fastify/fast-json-stringify-compiler": "",
};
const usedPartsFilter = new RegExp(`^(${Object.keys(usedParts).join("|")})$`);

const libraryParts = {
    name: "library-parts",
    setup(bundle) {
        bundle.onResolve({ filter: usedPartsFilter }, ({ path }) => ({ path, namespace: "used-parts" }));
        bundle.onLoad({ filter: /.*/, namespace: "used-parts" }, ({ path }) => ({
            contents: usedParts[path],
            resolveDir: root,
        }));
    },
};

const source = name => join(root, "packages/winchpathd/src", name);

rmSync(join(root, "target/program.cache"), { force: true });
await build({
    entryPoints: {
        winchpathd: source("launch.ts"),
        launchers: source("launchers.ts"),
        program: source("programs.ts"),
    },
    outdir: join(root, "target"),
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifyWhitespace: true,
    minifySyntax: true,
    sourcemap: false,
    legalComments: "none",
    // CommonJS output has no import.meta.url; the banner defines its replacement.
    define: { "import.meta.url": "moduleUrl" },
    banner: { js: "const moduleUrl = require(\"node:url\").pathToFileURL(__filename).href;" },
    plugins: [workspace, libraryParts],
    logLevel: "warning",
});

// Must equal the flags in deploy/system.toml: V8 rejects a code cache that was created with other flags.
const flags = ["--single-threaded", "--max-old-space-size=160", "--max-semi-space-size=2"];
execFileSync(process.execPath, [...flags, join(root, "scripts/codecache.mjs")], { stdio: "inherit" });
