import { expect } from "earl";
import { readFile, writeFile } from "node:fs/promises";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { demoSpec, runDemo } from "../demo/scenarios.js";
import { Deployment } from "../index.js";

const golden = fileURLToPath(new URL("../../golden/session.txt", import.meta.url));

describe("the demo with real processes", () => {
    it("prints the output in the golden file (UPDATE_GOLDEN=1 updates it)", async () => {
        const deployment = await Deployment.start(demoSpec);
        const lines: string[] = [];
        try {
            await runDemo(deployment, line => lines.push(line));
        }
        finally {
            await deployment.stop();
        }
        const text = `${lines.join("\n")}\n`;
        if (process.env["UPDATE_GOLDEN"] === "1") {
            await writeFile(golden, text);
        }
        expect(text).toEqual(await readFile(golden, "utf8"));
    });
});
