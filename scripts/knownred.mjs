/**
 * Judges a failed run of the tests: `node knownred.mjs REPORT`. It passes where
 * every test that failed stands in KNOWN-RED.txt (a line each: name | cause |
 * issue), and prints them; anything else that failed fails the run.
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

failed.filter(name => known.includes(name)).forEach(name => console.log(`known red: ${name}`));
unknown.forEach(name => console.log(`red: ${name}`));
process.exitCode = failed.length > 0 && unknown.length === 0 ? 0 : 1;
