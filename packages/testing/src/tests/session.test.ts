import { expect } from "earl";
import { readFile, writeFile } from "node:fs/promises";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { runSession, sessionSpec } from "../demo/sessions.js";
import { Deployment } from "../index.js";

const golden = fileURLToPath(new URL("../../golden/session.txt", import.meta.url));

describe("a whole session with real processes", () => {
    it("goes as the golden file says (UPDATE_GOLDEN=1 writes it anew)", async () => {
        const deployment = await Deployment.start(sessionSpec);
        const lines: string[] = [];
        try {
            await runSession(deployment, line => lines.push(line));
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
