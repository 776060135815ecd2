/** A sound worker of a service without models: registers, checks what it may run, and records what it ran. */
import { createServer } from "node:http";
import { call, sleep } from "./http.mjs";

const heartbeatMs = 1200;
let count = 0;

export class Worker {
    /** `answer(req, res, worker)` writes the response to a request that the worker runs. */
    constructor({ service, control, answer, note = () => undefined, id }) {
        count += 1;
        this.id = id ?? `i-${process.pid.toString(16)}${count}`;
        Object.assign(this, { service, control, answer, note, ran: [], sequence: 0, state: "ready", stopped: false });
        this.server = createServer((req, res) => void this.handle(req, res));
        this.server.keepAliveTimeout = 10_000;
    }

    async start(port = 0) {
        await new Promise(resolve => this.server.listen(port, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
        void this.beat();
        return this;
    }

    stop() {
        this.stopped = true;
        this.server.close();
        this.server.closeAllConnections();
    }

    async announce() {
        this.sequence += 1;
        const body = JSON.stringify({
            "service": this.service,
            "address": this.address,
            "zone": "plateau",
            "version": "v1",
            "slots": 64,
            "state": this.state,
            "cold-remaining-ms": 0,
            "sequence": this.sequence,
            ...(this.remainingMs === undefined ? {} : { "remaining-ms": this.remainingMs }),
        });
        for (const address of this.control) {
            const res = await call(address, "POST", `/instances/${this.id}/heartbeat`, {
                headers: { "Content-Type": "application/json" },
                body,
                timeoutMs: 1000,
            });
            if (res?.status === 200) {
                return true;
            }
        }
        return false;
    }

    async beat() {
        while (!this.stopped) {
            await sleep(await this.announce() ? heartbeatMs : 100);
        }
    }

    async handle(req, res) {
        const chunks = [];
        for await (const chunk of req) {
            chunks.push(chunk);
        }
        const id = req.headers["request-id"];
        if (req.url === "/health") {
            res.writeHead(200, { "Instance-Id": this.id }).end();
            return;
        }
        if (req.headers["target-instance"] !== undefined && req.headers["target-instance"] !== this.id) {
            res.writeHead(421, { "Request-Id": id, "Not-Executed": "1" }).end();
            return;
        }
        this.ran.push({ id, at: performance.now() });
        this.note(`worker ${this.id} of ${this.service} runs ${id}`);
        req.sentBody = Buffer.concat(chunks);
        await this.answer(req, res, this);
    }

    /** Headers of a response that the worker signs. */
    signed(req, headers = {}) {
        return { "Request-Id": req.headers["request-id"], "Response-Seal": `3e1b.${this.id}`, ...headers };
    }
}
