import { expect } from "earl";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { checkEnvironment, loadSettings, parseSettings } from "../index.js";

const entry = `
role = "entry"
host = "entry-plateau"
dataCentre = "plateau"
dataFolder = "data"
[listen]
peers = "127.0.0.1:7101"
callers = "127.0.0.1:8101"
operators = "127.0.0.1:9101"
[control]
seeds = ["http://127.0.0.1:7101"]
[security]
insecure = true
`;

const agent = `
role = "agent"
host = "assistant-1"
dataCentre = "pikine"
[listen]
peers = "127.0.0.1:7201"
[control]
seeds = ["http://127.0.0.1:7101"]
[security]
insecure = true
[upstream]
name = "assistant-1"
kind = "engine"
url = "http://127.0.0.1:9301"
accelerators = [{ name = "a0", memory = "24 GiB" }]
`;

function issuesOf(text: string): string[] {
    const result = parseSettings(text, "/srv");
    return result.err ? result.val.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`) : [];
}

describe("settings", () => {
    it("fill in defaults and decode them to milliseconds and bytes", () => {
        const cfg = parseSettings(entry, "/srv").unwrap();
        expect(cfg.control.heartbeat).toEqual(100);
        expect(cfg.limits.body).toEqual(4 * 2 ** 20);
        expect(cfg.dataFolder).toEqual("/srv/data");
        expect(cfg.peerUrl).toEqual("http://127.0.0.1:7101");
    });

    it("decode an agent's accelerators", () => {
        const cfg = parseSettings(agent, "/srv").unwrap();
        expect(cfg.upstream?.accelerators).toEqual([{ name: "a0", memory: 24 * 2 ** 30, speed: 1 }]);
        expect(cfg.upstream?.orderLifetime).toEqual(2000);
    });

    describe("report the path of", () => {
        const cases: [string, string, string][] = [
            ["an unknown key", `${entry}[limits]\ncolour = 1`, "limits.colour: unknown key"],
            ["an invalid unit", `${entry}[limits]\nrequest = "5 parsecs"`, "limits.request: must match pattern"],
            ["an invalid size", agent.replace("24 GiB", "24 GB"), "upstream.accelerators.0.memory: must match pattern"],
            ["an invalid address", entry.replace("127.0.0.1:8101", "here"), "listen.callers: must match pattern"],
            ["a missing key", entry.replace("host = \"entry-plateau\"", ""), "host: key is missing"],
            [
                "a key of another role",
                agent.replace("[control]", "callers = \"127.0.0.1:1\"\n[control]"),
                "listen.callers: role agent does not support this key",
            ],
            ["a missing shared key", entry.replace("insecure = true", ""), "security.keyFile: key is missing"],
        ];
        for (const [name, text, expected] of cases) {
            it(name, () => {
                const issues = issuesOf(text);
                expect(issues.length).toEqual(1);
                expect(issues[0]).toInclude(expected);
            });
        }
    });

    it("read the key file relative to the settings file, and name the settings file in issues", () => {
        const folder = mkdtempSync(join(tmpdir(), "winchpath-settings-"));
        const file = join(folder, "entry.toml");
        writeFileSync(join(folder, "key"), "a key of some length\n");
        writeFileSync(file, entry.replace("insecure = true", "keyFile = \"key\""));
        expect(loadSettings(file).unwrap().key).toEqual("a key of some length");
        writeFileSync(file, "role = 3");
        const result = loadSettings(file);
        expect(result.err && result.val.issues[0].path[0]).toEqual(file);
        rmSync(folder, { recursive: true });
    });

    it("reject an environment that enables io_uring", () => {
        expect(checkEnvironment({ UV_USE_IO_URING: "1" }).err).toEqual(true);
        expect(checkEnvironment({}).ok).toEqual(true);
    });
});
