/** Two machines lose their disks right after a third was replaced as planned. Exits with 1 if the configuration is lost. */
import { mkdirSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { call, sleep } from "../lib/http.mjs";
import { openRecord } from "../lib/record.mjs";
import { configuration, System } from "../lib/system.mjs";
import { Worker } from "../lib/worker.mjs";

const trouble = process.env.TROUBLE !== "0";
const note = openRecord(dirname(fileURLToPath(import.meta.url)));
const service = "xano55b";
/** The successor runs for longer than `catch-up-s` (4) before the old machine is stopped. */
const successorHeadStartMs = 6000;
const wipeAfterMs = 300;
const restartDelayMs = 500;
/** Longer than `recovery-s` (12) and `catch-up-s` together, after the machines are back. */
const waitMs = 20_000;
const route = { "path-prefix": "/lohu930/", service };

/** Reads the configuration back from each machine of the core; resolves to what they answer. */
async function readBack(system, machines) {
    const answers = await Promise.all(machines.map(async machine => {
        const res = await call(system.controlAddress(machine), "GET", "/config/get", { timeoutMs: 1000 });
        const version = res?.status === 200 ? JSON.parse(res.body).version : undefined;
        return `${machine.name}: ${res?.status ?? "no answer"}${
            version === undefined ? "" : ` with version ${version}`
        }`;
    }));
    return answers;
}

let system;
let worker;
let code = 2;
try {
    system = await System.start({ controls: 5, entries: 2, spares: 1, note });
    const [first, ...others] = system.controls;
    const successor = others.at(-1);
    worker = await new Worker({
        service,
        control: system.controls.map(machine => system.controlAddress(machine)),
        answer: (req, res, self) => void res.writeHead(200, self.signed(req)).end("booked"),
    }).start();
    await system.configure(configuration(1, [route], [service]));
    await system.allReady();
    await sleep(1500);
    successor.start();
    note(`${successor.name} starts as the successor of ${first.name}, at another address, with an empty disk`);
    await sleep(successorHeadStartMs);
    note(`SIGTERM to ${first.name}`);
    first.signal("SIGTERM");
    const { code: exitCode } = await first.exit;
    note(`${first.name} has ended with code ${exitCode}, for good`);
    const core = others;
    if (trouble) {
        await sleep(wipeAfterMs);
        const lost = others.slice(0, 2);
        const names = lost.map(({ name }) => name).join(" and ");
        lost.forEach(machine => machine.signal("SIGKILL"));
        await Promise.all(lost.map(({ exit }) => exit));
        note(`${names} lose their power and their disks`);
        await sleep(restartDelayMs);
        for (const machine of lost) {
            const dataDir = join(system.folder, `${machine.name}-empty`);
            mkdirSync(dataDir);
            writeFileSync(
                machine.file,
                JSON.stringify({ ...machine.settings, "bootstrap": false, "data-dir": dataDir }),
            );
            machine.start();
        }
        note(`${names} are started again at their addresses, with empty disks and bootstrap false`);
    }
    const deadline = performance.now() + waitMs;
    let acknowledged = false;
    let calls = 0;
    let served = 0;
    let refused = 0;
    let answers = [];
    while (performance.now() < deadline && !acknowledged) {
        calls += 1;
        const address = system.controlAddress(core[calls % core.length]);
        const body = JSON.stringify(configuration(2, [route], [service]));
        const res = await call(address, "POST", "/config/put", { body, timeoutMs: 1000 });
        acknowledged = res?.status === 200;
        const headers = { "Host": "ficu95.example", "Request-Id": `q${calls}`, "Request-Deadline": "1500" };
        const request = await call(system.frontAddress(system.entries[0]), "POST", "/lohu930/2f", {
            headers,
            body: "{}",
        });
        served += request?.status === 200 ? 1 : 0;
        refused += request?.status === 503 ? 1 : 0;
        await sleep(200);
    }
    answers = await readBack(system, core);
    note(
        `version 2 sent ${calls} times: ${
            acknowledged ? "acknowledged" : `not acknowledged within ${waitMs / 1000} s`
        }`,
    );
    note(`requests meanwhile: ${served} served, ${refused} refused with 503`);
    note(`the configuration is read back: ${answers.join("; ")}`);
    const isKept = answers.some(answer => answer.includes("with version"));
    note(isKept ? "the acknowledged configuration is kept" : "no machine answers with the acknowledged configuration");
    code = isKept ? 0 : 1;
}
catch (err) {
    note(`could not run: ${err.stack}`);
}
finally {
    worker?.stop();
    await system?.stop({ keep: process.env.KEEP === "1" });
}
process.exit(code);
