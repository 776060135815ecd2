/**
 * A worker of the platform as PROTOCOL.md describes it: heartbeats, requests, orders, reports. It is a process of its own; its
 * parent sends it commands as JSON lines, and reads from its standard output what it has received, run and answered.
 *
 * Options (JSON, first argument): id, service, zone, control (addresses), slots, models (names held at the start), catalogue
 * (size in MB by model), weightsMb, loadMs, adapterSlots, framing ("chunked" or "close"), pieces, pieceMs, awaitsAddress (no
 * heartbeat before the command "announce ADDRESS").
 */
import { createServer } from "node:http";
import { createInterface } from "node:readline";
import { call, sleep } from "./http.mjs";

const options = JSON.parse(process.argv[2]);
const heartbeatMs = 1200;
const say = event => process.stdout.write(`${JSON.stringify({ at: Date.now(), worker: options.id, ...event })}\n`);

let state = "ready";
let beat = 0;
let address = "";
/** The address under which callers reach it, if that isn't its own. */
let announced;
let orders = 0;
let highestFence = 0;
let busy = false;
let running = 0;
const held = new Set(options.models ?? []);
const loading = new Set();

const sizeOf = model => options.catalogue?.[model] ?? 0;
const usedMb = () => [...held, ...loading].reduce((sum, model) => sum + sizeOf(model), 0);
const describeModels = () => [...held].map(name => ({ name, version: 1, adapters: [] }));

async function sendHeartbeat() {
    beat += 1;
    const body = {
        service: options.service,
        address: announced ?? address,
        zone: options.zone ?? "plateau",
        version: "v1",
        slots: options.slots ?? 6,
        state,
        "cold-remaining-ms": 0,
        stage: "combined",
        models: describeModels(),
        sequence: beat,
    };
    for (const control of options.control) {
        const res = await call(control, "POST", `/instances/${options.id}/heartbeat`, body).catch(() => undefined);
        if (res !== undefined && res.status >= 200 && res.status < 300) {
            return true;
        }
    }
    return false;
}

function answerOrder(order, res) {
    const { operation, model, expected } = order;
    const fence = order["fence-token"];
    const reply = (status, why) => {
        say({ event: "order", operation, model, expected, holder: order.holder, fence, status, why, usedMb: usedMb() });
        res.writeHead(status).end();
    };
    if (order.holder === undefined || fence === undefined) {
        return reply(400, "no holder or fence");
    }
    if (fence < highestFence) {
        return reply(412, "fenced");
    }
    highestFence = fence;
    if (expected !== undefined && expected !== orders) {
        // The same order, sent again while it is carried out, has been accepted.
        return operation === "load" && loading.has(model) ? reply(202, "under way") : reply(409, "sequence");
    }
    if (operation === "load" ? held.has(model) : !held.has(model) && !loading.has(model)) {
        return reply(200, "holds");
    }
    if (busy) {
        return loading.has(model) ? reply(202, "under way") : reply(409, "busy");
    }
    orders += 1;
    busy = true;
    if (operation === "load") {
        const needed = usedMb() + sizeOf(model);
        if (needed > options.weightsMb) {
            say({
                event: "overloaded",
                model,
                neededMb: needed,
                weightsMb: options.weightsMb,
                held: [...held],
                running,
            });
            // "A worker that is ordered to load more than `weights-mb` or `adapter-slots` crashes."
            setTimeout(() => process.kill(process.pid, "SIGKILL"), 20);
            return reply(202, "over its memory");
        }
        loading.add(model);
        setTimeout(() => {
            loading.delete(model);
            held.add(model);
            busy = false;
        }, options.loadMs ?? 1200);
    }
    else {
        held.delete(model);
        busy = false;
    }
    return reply(202, "accepted");
}

async function run(req, res) {
    const id = req.headers["request-id"];
    const model = (req.headers.model ?? "").split("/")[0];
    if (req.headers["target-instance"] !== undefined && req.headers["target-instance"] !== options.id) {
        say({ event: "declined", id, why: "another instance" });
        res.writeHead(421, { "Request-Id": id }).end();
        return;
    }
    if (model !== "" && !held.has(model)) {
        say({ event: "declined", id, model, why: "model" });
        res.writeHead(421, { "Request-Id": id }).end();
        return;
    }
    running += 1;
    const isStream = req.url.startsWith("/stream");
    const pieces = options.pieces ?? 1;
    const whole = Array.from(
        { length: pieces },
        (_, index) =>
            isStream
                ? `id: ${index + 1}\ndata: piece ${index + 1} of ${pieces} for ${id}\n\n`
                : `piece ${index + 1} of ${pieces} for ${id}\n`,
    );
    say({ event: "run", id, path: req.url, pieces });
    const headers = {
        "Request-Id": id,
        "Response-Seal": `seal.${options.id}.${id}`,
        "Content-Type": isStream ? "text/event-stream" : "text/plain",
    };
    if (options.framing === "close") {
        // "A worker's answer may have no length and end with its connection."
        res.useChunkedEncodingByDefault = false;
        headers.Connection = "close";
    }
    let isGone = false;
    res.on("close", () => isGone = !res.writableFinished);
    if (isStream || options.framing === "close") {
        res.writeHead(200, headers);
        for (const piece of whole) {
            res.write(piece);
            await sleep(options.pieceMs ?? 0);
        }
        res.end();
    }
    else {
        await sleep(options.pieceMs ?? 0);
        res.writeHead(200, headers).end(whole.join(""));
    }
    running -= 1;
    say({ event: isGone ? "caller-gone" : "answered", id, bytes: whole.join("").length });
}

const server = createServer((req, res) => {
    const chunks = [];
    req.on("data", chunk => chunks.push(chunk));
    req.on("end", () => {
        const text = Buffer.concat(chunks).toString();
        if (req.url === "/report") {
            res.end(JSON.stringify({
                stage: "combined",
                models: describeModels(),
                busy,
                sequence: orders,
                queued: 0,
                running,
                "kv-used": 0,
                "kv-total": 132_029,
                handles: 0,
            }));
        }
        else if (req.url === "/order") {
            answerOrder(JSON.parse(text), res);
        }
        else if (req.url === "/health") {
            res.writeHead(state === "ready" ? 200 : 503, { "Instance-Id": options.id }).end();
        }
        else {
            void run(req, res);
        }
    });
});
server.keepAliveTimeout = 20_000;

async function handleCommand(text) {
    const { command } = JSON.parse(text);
    if (command.startsWith("announce ")) {
        announced = command.slice("announce ".length);
    }
    else if (command === "drain") {
        state = "draining";
        const acknowledged = await sendHeartbeat();
        say({ event: "draining", acknowledged });
    }
    else if (command === "leave") {
        for (const control of options.control) {
            const res = await call(control, "POST", `/instances/${options.id}/leave`, {}).catch(() => undefined);
            if (res?.status === 200) {
                break;
            }
        }
        say({ event: "left" });
        process.exit(0);
    }
}

server.listen(options.port ?? 0, options.ip ?? "127.0.0.1", async () => {
    address = `${options.ip ?? "127.0.0.1"}:${server.address().port}`;
    say({ event: "listening", address });
    for (;;) {
        if (!options.awaitsAddress || announced !== undefined) {
            await sendHeartbeat();
        }
        await sleep(options.awaitsAddress && announced === undefined ? 20 : heartbeatMs);
    }
});
createInterface({ input: process.stdin }).on("line", line => void handleCommand(line)).on(
    "close",
    () => process.exit(0),
);
