/** What the scripts of all cases share: the record, the workers, the exit code. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { System } from "./system.mjs";

const workerScript = join(dirname(fileURLToPath(import.meta.url)), "worker.mjs");

/** Whether the script brings its disruption about. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** What was sent, answered and run, in the order in which the script has seen it. */
export class Record {
    lines = [];
    startedAt = Date.now();

    constructor(file) {
        this.file = file;
    }

    add(fields) {
        const { at = Date.now(), ...rest } = fields;
        this.lines.push(`${String(at - this.startedAt).padStart(6)} ms  ${JSON.stringify(rest)}`);
    }

    write() {
        writeFileSync(this.file, `${this.lines.join("\n")}\n`);
    }
}

/** A worker process. */
export class Worker {
    events = [];

    constructor(options, record) {
        this.id = options.id;
        this.child = spawn(process.execPath, [workerScript, JSON.stringify(options)], {
            stdio: ["pipe", "pipe", "inherit"],
        });
        this.exited = once(this.child, "exit");
        createInterface({ input: this.child.stdout }).on("line", line => {
            const event = JSON.parse(line);
            this.events.push(event);
            record.add({ ...event, at: event.at });
        });
    }

    command(command) {
        this.child.stdin.write(`${JSON.stringify({ command })}\n`);
    }

    find(event, id) {
        return this.events.find(each => each.event === event && (id === undefined || each.id === id));
    }

    kill() {
        this.child.kill("SIGKILL");
    }
}

/**
 * Runs a case: `play` returns the list of breaches of the rule, empty if it held. Exits with 1 if it was broken, 0 if it held,
 * 2 if the case couldn't run.
 */
export async function runCase(folder, size, play) {
    const record = new Record(join(folder, "record.txt"));
    const workers = [];
    let system;
    let code = 2;
    const limit = setTimeout(() => {
        record.add({ event: "out of time" });
        record.write();
        workers.forEach(worker => worker.kill());
        system?.hosts.forEach(host => host.child?.kill("SIGKILL"));
        process.exit(2);
    }, 115_000);
    try {
        system = await System.start(size);
        const startWorker = options => {
            const worker = new Worker({ control: system.controlAddresses, ...options }, record);
            workers.push(worker);
            return worker;
        };
        const breaches = await play({ system, record, startWorker });
        breaches.forEach(breach => record.add({ event: "BROKEN", breach }));
        code = breaches.length > 0 ? 1 : 0;
    }
    catch (err) {
        record.add({ event: "could not run", error: String(err?.stack ?? err) });
    }
    finally {
        clearTimeout(limit);
        workers.forEach(worker => worker.kill());
        await system?.stop();
        record.add({ event: "end", trouble: hasTrouble, code });
        record.write();
    }
    process.stdout.write(`${["the rule held", "the rule was broken", "the case could not run"][code]}\n`);
    process.exit(code);
}
