/**
 * Checks the report of a failed test run: `node knownred.mjs REPORT`. Prints the failed tests, and exits with 0 if all of
 * them are listed in KNOWN-RED.txt (one per line: name | cause | issue), with 1 otherwise.
 */
import { existsSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const listFile = fileURLToPath(new URL("../KNOWN-RED.txt", import.meta.url));
const known = existsSync(listFile)
    ? readFileSync(listFile, "utf8").split("\n").filter(line => line.includes("|")).map(line =>
        line.split("|")[0].trim()
    )
    : [];
const [, failing = ""] = readFileSync(process.argv[2], "utf8").split("failing tests:");
const failed = [...failing.matchAll(/^✖ (.*) \([\d.]+ms\)$/gmu)].map(match => match[1]);
const unknown = failed.filter(name => !known.includes(name));

failed.filter(name => known.includes(name)).forEach(name => console.log(`known failure: ${name}`));
unknown.forEach(name => console.log(`failure: ${name}`));
process.exitCode = failed.length > 0 && unknown.length === 0 ? 0 : 1;
