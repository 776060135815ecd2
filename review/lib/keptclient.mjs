/** A client that keeps its connection and sends its next request on it as soon as the response before is complete. */
import { connect } from "node:net";

/** Returns the length of the complete response at the start of `bytes`, with its head; undefined if it isn't complete. */
function parseResponse(bytes) {
    const text = bytes.toString("latin1");
    const end = text.indexOf("\r\n\r\n");
    if (end === -1) {
        return undefined;
    }
    const head = text.slice(0, end).toLowerCase();
    const status = Number(text.split(" ", 2)[1]);
    const mayReuse = !/\r\nconnection: *close/.test(head);
    const length = /\r\ncontent-length: *(\d+)/.exec(head);
    const whole = at => ({ status, head, mayReuse, body: text.slice(end + 4, at), length: at });
    if (length) {
        const at = end + 4 + Number(length[1]);
        return bytes.length >= at ? whole(at) : undefined;
    }
    let at = end + 4;
    for (;;) {
        const line = text.indexOf("\r\n", at);
        const size = line === -1 ? Number.NaN : Number.parseInt(text.slice(at, line), 16);
        if (Number.isNaN(size) || bytes.length < line + 2 + size + 2) {
            return undefined;
        }
        at = line + 2 + size + 2;
        if (size === 0) {
            return whole(at);
        }
    }
}

/**
 * Sends the requests one after the other on one connection. Resolves to a result for each: `answered` with a status,
 * `closed` if the connection ended without its answer, or `not sent` if the connection had to be left before.
 */
export function sendInTurn(address, requests, note) {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = connect({ host, port, noDelay: true });
        const results = [];
        let buffered = Buffer.alloc(0);
        const finish = how => {
            if (results.length < requests.length) {
                note(`client of ${requests[results.length].id}: ${how}, no answer`);
                results.push({ id: requests[results.length].id, how: "closed" });
            }
            while (results.length < requests.length) {
                results.push({ id: requests[results.length].id, how: "not sent" });
            }
            socket.destroy();
            resolve(results);
        };
        const send = () => {
            const { id, path, deadlineMs } = requests[results.length];
            socket.write(
                `POST ${path} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: ${id}\r\n`
                    + `Request-Deadline: ${deadlineMs}\r\nContent-Length: 2\r\n\r\n{}`,
            );
            note(`client sends ${id} to ${address}${results.length > 0 ? " on its kept connection" : ""}`);
        };
        socket.on("data", chunk => {
            buffered = Buffer.concat([buffered, chunk]);
            const response = parseResponse(buffered);
            if (response === undefined) {
                return;
            }
            buffered = buffered.subarray(response.length);
            const { id } = requests[results.length];
            note(
                `client has the whole answer to ${id}: ${response.status}${
                    response.mayReuse ? "" : ", Connection: close"
                }`,
            );
            results.push({ id, how: "answered", status: response.status, head: response.head, body: response.body });
            if (results.length === requests.length) {
                socket.end();
                resolve(results);
            }
            else if (!response.mayReuse) {
                while (results.length < requests.length) {
                    results.push({ id: requests[results.length].id, how: "not sent" });
                }
                socket.end();
                resolve(results);
            }
            else {
                send();
            }
        });
        socket.on("end", () => finish("connection closed by the machine"));
        socket.on("error", err => finish(`connection failed (${err.code})`));
        socket.on("connect", send);
    });
}
