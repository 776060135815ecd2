/**
 * Program of a crowd of clients, in a process of its own so that it isn't slowed by what it tests. Its argument is a
 * `CrowdSpec` as JSON. Each client writes as fast as its connection takes it, reads nothing, and connects again after its
 * connection was closed. Runs until it is killed.
 */
import { connect as connectHttp2 } from "node:http2";
import { connect } from "node:net";
import { type Writable } from "node:stream";
import { type CrowdSpec } from "./schemas.js";

/** Time from the end of a connection to the next one, in milliseconds. */
const reconnectMs = 50;
/** Size up to which copies of the repeated text are joined to one piece, in bytes. */
const pieceBytes = 64 * 1024;

const spec: CrowdSpec = JSON.parse(process.argv[2]);
const {
    host,
    port,
    connections,
    opening,
    repeated,
    times = Number.POSITIVE_INFINITY,
    ending = "",
    startIntervalMs = 0,
    calls,
} = spec;
const copiesInPiece = Math.max(1, Math.min(times, Math.floor(pieceBytes / Math.max(1, repeated.length))));
const piece = Buffer.from(repeated.repeat(copiesInPiece), "latin1");

/** Writes the repeated text as often as it is to be sent, as fast as it is taken, and then the ending. */
function writeRepeated(stream: Writable): void {
    let copiesLeft = piece.length === 0 ? 0 : times;
    const write = () => {
        while (copiesLeft > 0 && !stream.destroyed) {
            const copies = Math.min(copiesLeft, copiesInPiece);
            copiesLeft -= copies;
            if (!stream.write(piece.subarray(0, copies * repeated.length))) {
                stream.once("drain", write);
                return;
            }
        }
        if (ending !== "" && !stream.destroyed) {
            stream.write(ending, "latin1");
        }
    };
    write();
}

function runClient(): void {
    const socket = connect({ host, port });
    socket.pause();
    socket.on("error", () => undefined);
    socket.once("connect", () => {
        if (opening !== "") {
            socket.write(opening, "latin1");
        }
        writeRepeated(socket);
    });
    socket.once("close", () => setTimeout(runClient, reconnectMs));
}

function runHttp2Client(): void {
    const session = connectHttp2(`http://${host}:${port}`);
    session.on("error", () => undefined);
    session.once("connect", () => {
        for (let index = 0; index < calls!; index++) {
            const call = session.request({ ":method": "POST", ":path": opening, "content-type": "application/proto" });
            call.on("error", () => undefined);
            call.pause();
            writeRepeated(call);
        }
    });
    session.once("close", () => setTimeout(runHttp2Client, reconnectMs));
}

// Connections that are neither read from nor written to don't keep the process alive.
setInterval(() => undefined, reconnectMs);
for (let index = 0; index < connections; index++) {
    setTimeout(calls === undefined ? runClient : runHttp2Client, index * startIntervalMs);
}
process.stdout.write("the crowd is ready\n");
