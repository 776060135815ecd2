/**
 * Program of a crowd of clients, in a process of its own so that it isn't slowed by what it tests. Its argument is a
 * `CrowdSpec` as JSON. Each client writes as fast as its connection takes it, reads nothing, and connects again after its
 * connection was closed. Runs until it is killed.
 */
import { connect } from "node:net";
import { type CrowdSpec } from "./schemas.js";

/** Time from the end of a connection to the next one, in milliseconds. */
const reconnectMs = 50;
/** Size up to which copies of the repeated text are joined to one piece, in bytes. */
const pieceBytes = 64 * 1024;

const { host, port, connections, opening, repeated, times = Number.POSITIVE_INFINITY }: CrowdSpec = JSON.parse(
    process.argv[2],
);
const copiesInPiece = Math.max(1, Math.min(times, Math.floor(pieceBytes / Math.max(1, repeated.length))));
const piece = Buffer.from(repeated.repeat(copiesInPiece), "latin1");

function runClient(): void {
    const socket = connect({ host, port });
    let copiesLeft = piece.length === 0 ? 0 : times;
    const write = () => {
        while (copiesLeft > 0 && !socket.destroyed) {
            const copies = Math.min(copiesLeft, copiesInPiece);
            copiesLeft -= copies;
            if (!socket.write(piece.subarray(0, copies * repeated.length))) {
                socket.once("drain", write);
                return;
            }
        }
    };
    socket.pause();
    socket.on("error", () => undefined);
    socket.once("connect", () => {
        if (opening !== "") {
            socket.write(opening, "latin1");
        }
        write();
    });
    socket.once("close", () => setTimeout(runClient, reconnectMs));
}

// Connections that are neither read from nor written to don't keep the process alive.
setInterval(() => undefined, reconnectMs);
for (let index = 0; index < connections; index++) {
    runClient();
}
process.stdout.write("the crowd is ready\n");
