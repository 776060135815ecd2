/** HTTP calls of the scripts, with what a client can see of each answer. */
import { request } from "node:http";

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Polls until `find` returns a value; throws after the time limit, in milliseconds. */
export async function until(find, timeoutMs, description) {
    const deadline = Date.now() + timeoutMs;
    for (;;) {
        const found = await find();
        if (found !== undefined) {
            return found;
        }
        if (Date.now() > deadline) {
            throw new Error(`timed out waiting for ${description}`);
        }
        await sleep(50);
    }
}

/** Calls an interface of the system with a JSON body. */
export function call(address, method, path, body, timeoutMs = 1000) {
    const [host, port] = address.split(":");
    const text = body === undefined ? undefined : JSON.stringify(body);
    const headers = text === undefined
        ? {}
        : { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) };
    return new Promise((resolve, reject) => {
        const req = request({ host, port, method, path, headers, agent: false, timeout: timeoutMs }, res => {
            let received = "";
            res.on("data", chunk => received += chunk);
            res.on("error", reject);
            res.on("end", () => resolve({ status: res.statusCode, headers: res.headers, body: received }));
        });
        req.on("timeout", () => req.destroy(new Error("timeout")));
        req.on("error", reject);
        req.end(text);
    });
}

/**
 * Sends a client's request on a connection of its own. Resolves to what the client sees: the status, the bytes of the body,
 * and whether the answer is complete by the framing of HTTP/1.1.
 */
export function send(address, { method = "POST", path, host, id, headers = {}, body = "", deadlineMs = 5000 }) {
    const sentAt = Date.now();
    return new Promise(resolve => {
        let status = 0;
        let seal;
        let received = "";
        let framing = "";
        const finish = (complete, error) =>
            resolve({
                id,
                sentAt,
                tookMs: Date.now() - sentAt,
                status,
                seal,
                body: received,
                framing,
                complete,
                error,
            });
        const req = request({
            ...address,
            method,
            path,
            agent: false,
            headers: {
                Host: host,
                "Request-Id": id,
                "Request-Deadline": String(deadlineMs),
                "Content-Length": Buffer.byteLength(body),
                ...headers,
            },
        }, res => {
            status = res.statusCode;
            seal = res.headers["response-seal"];
            framing = res.headers["transfer-encoding"]
                ?? (res.headers["content-length"] === undefined ? "close" : "length");
            res.on("data", chunk => received += chunk);
            res.on("end", () => finish(res.complete, undefined));
            res.on("error", err => finish(false, err.code ?? err.message));
        });
        req.on("error", err => finish(false, err.code ?? err.message));
        const timer = setTimeout(() => req.destroy(new Error("the client's deadline")), deadlineMs + 500);
        timer.unref();
        req.end(body);
    });
}
