/** Clients go on with their kept connections while their machine is stopped as planned. Exits with 1 if the rule broke. */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { sleep } from "../lib/http.mjs";
import { sendInTurn } from "../lib/keptclient.mjs";
import { openLink } from "../lib/link.mjs";
import { openRecord } from "../lib/record.mjs";
import { configuration, System } from "../lib/system.mjs";
import { Worker } from "../lib/worker.mjs";

const trouble = process.env.TROUBLE !== "0";
const note = openRecord(dirname(fileURLToPath(import.meta.url)));
const clients = 30;
/** Between the starts of two clients, in ms. */
const startGapMs = 10;
/** One way between clients and machines, as on the site's sheet. */
const clientDelayMs = 3;
const events = 11;
const eventIntervalMs = 150;
/** Time of SIGTERM after the streams were asked for: in the middle of them. */
const termAfterMs = 800;
const streams = { "path-prefix": "/gono990/", "type": "streaming", "timeout-ms": 5000, "gap-target-ms": 400 };
const bookings = { "path-prefix": "/lohu930/", "type": "unsafe", "timeout-ms": 1500 };

async function answerStream(req, res, self) {
    res.writeHead(200, self.signed(req, { "Content-Type": "text/event-stream" }));
    for (let event = 1; event <= events; event++) {
        res.write(`id: ${event}\ndata: piece ${event}\n\n`);
        await sleep(eventIntervalMs);
    }
    res.end();
}

async function answerBooking(req, res, self) {
    await sleep(20);
    const body = `booked for ${req.headers["request-id"]}`;
    res.writeHead(200, self.signed(req, { "Content-Length": String(body.length) })).end(body);
    note(`worker ${self.id} has answered ${req.headers["request-id"]} with 200`);
}

let system;
let link;
const workers = [];
let code = 2;
try {
    system = await System.start({ note });
    const control = system.controls.map(machine => system.controlAddress(machine));
    for (const [service, answer] of [["dele69a", answerStream], ["xano55b", answerBooking]]) {
        workers.push(await new Worker({ service, control, note, answer }).start());
    }
    await system.configure(
        configuration(1, [{ ...streams, service: "dele69a" }, { ...bookings, service: "xano55b" }], [
            "dele69a",
            "xano55b",
        ]),
    );
    await system.allReady();
    await sleep(1500);
    const [entry] = system.entries;
    link = await openLink(system.frontAddress(entry), clientDelayMs);
    const sent = [];
    for (let client = 1; client <= clients; client++) {
        sent.push(sendInTurn(link.address, [
            { id: `stream-${client}`, path: "/gono990/2f", deadlineMs: 5000 },
            { id: `booking-${client}`, path: "/lohu930/2f", deadlineMs: 1500 },
        ], note));
        await sleep(startGapMs);
    }
    await sleep(termAfterMs);
    if (trouble) {
        note(`SIGTERM to ${entry.name}`);
        entry.signal("SIGTERM");
        void entry.exit.then(({ code: exitCode }) => note(`${entry.name} has ended with code ${exitCode}`));
    }
    const results = (await Promise.all(sent)).flat();
    if (trouble) {
        await Promise.race([entry.exit, sleep(10_000)]);
    }
    const ran = new Set(workers.flatMap(worker => worker.ran.map(({ id }) => id)));
    const lost = results.filter(({ id, how }) => how === "closed" && ran.has(id));
    const crossed = results.filter(({ id, how }) => how === "closed" && !ran.has(id));
    const missing = results.filter(({ how, status }) => how === "not sent" || (how === "answered" && status !== 200));
    note(
        `${lost.length} requests were passed on and run, and their connection ended without an answer: ${
            lost.map(({ id }) => id)
        }`,
    );
    note(`${crossed.length} crossed the close and weren't passed on; ${missing.length} were refused or not sent`);
    code = lost.length > 0 ? 1 : trouble || missing.length === 0 ? 0 : 2;
}
catch (err) {
    note(`could not run: ${err.stack}`);
}
finally {
    workers.forEach(worker => worker.stop());
    link?.close();
    await system?.stop({ keep: process.env.KEEP === "1" });
}
process.exit(code);
