import { loadManifests } from "@winchpath/declarations";
import { loadSettings } from "@winchpath/settings";
import { expect } from "earl";
import { readdirSync } from "node:fs";
import { join } from "node:path";
import { afterEach, describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { Deployment, runCli } from "../index.js";

const examples = fileURLToPath(new URL("../../../../examples", import.meta.url));

describe("examples", () => {
    const sizes = { "fibre-commune": [26, 64], "adumasa": [39, 95] };

    for (const [name, [models, adapters]] of Object.entries(sizes)) {
        it(`of ${name} are valid and have the expected sizes`, () => {
            const manifests = loadManifests(join(examples, name, "declarations")).unwrap();
            expect(manifests.filter(({ kind }) => kind === "Model").length).toEqual(models);
            expect(manifests.filter(({ kind }) => kind === "Adapter").length).toEqual(adapters);
            const folder = join(examples, name, "settings");
            const files = readdirSync(folder).filter(file => file.endsWith(".toml"));
            const bad = files.map(file => loadSettings(join(folder, file))).filter(result => result.err);
            expect(bad).toEqual([]);
        });
    }
});

describe("the winchpath command", () => {
    let deployment: Deployment;
    afterEach(() => deployment.stop());

    it("previews, applies and shows changes, and reports failures by its exit code", async () => {
        deployment = await Deployment.start({
            dataCentres: ["plateau", "pikine", "rufisque"],
            engines: [],
            services: [],
        });
        const run = (...args: string[]) => runCli(args, deployment.commandEnvironment);
        const folder = join(examples, "adumasa", "declarations");
        const dry = await run("apply", "-f", folder, "--dry-run");
        expect([dry.code, dry.stdout.includes("would be accepted")]).toEqual([0, true]);
        expect((await run("get", "models", "--output", "json")).stdout.trim()).toEqual("[]");
        expect((await run("apply", "-f", folder)).code).toEqual(0);
        expect((await run("diff", "-f", folder)).stdout.trim()).toEqual("no differences");
        expect(JSON.parse((await run("get", "adapters", "-o", "json")).stdout).length).toEqual(95);
        const described = await run("describe", "model", "narrator-en-1");
        expect(described.stdout.includes("unreachable: 0 of 1 replicas")).toEqual(true);
        expect((await run("get", "model", "no-such")).code).toEqual(2);
        expect((await run("apply", "-f", join(examples, "no-such"))).code).toEqual(2);
        expect((await run("frobnicate")).code).toEqual(2);
        const [first] = deployment.entries;
        await first.process.kill();
        expect((await run("status")).code).toEqual(0);
        const html = await run("timeline", "--format", "html");
        expect(html.stdout.startsWith("<!doctype html>")).toEqual(true);
        await Promise.all(deployment.entries.map(entry => entry.process.kill()));
        expect((await run("status")).code).toEqual(1);
    });
});
