/** Calls over HTTP for the stand-ins of clients, workers and the operator. */
import { request } from "node:http";

export async function sleep(ms) {
    await new Promise(resolve => setTimeout(resolve, ms));
}

/** Sends one request on a new connection; resolves to undefined if there is no complete response in time. */
export function call(address, method, path, { headers = {}, body, timeoutMs = 5000 } = {}) {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const req = request({ host, port, method, path, headers, agent: false }, res => {
            const chunks = [];
            res.on("data", chunk => chunks.push(chunk));
            res.on("error", () => resolve(undefined));
            res.on("aborted", () => resolve(undefined));
            res.on(
                "end",
                () => resolve({ status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks).toString() }),
            );
        });
        const timer = setTimeout(() => req.destroy(), timeoutMs);
        req.on("close", () => clearTimeout(timer));
        req.on("error", () => resolve(undefined));
        req.end(body);
    });
}
