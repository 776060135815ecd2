/** Whether a process has ended: its host refuses connections to its address. */
import { connect } from "node:net";

/** A host that has not answered by then says nothing, in milliseconds: round trips take a few. */
const probeTimeoutMs = 300;

/** Whether an address refuses connections; one that takes them, or is silent, may belong to a process that lives. */
export function isRefused(address: string): Promise<boolean> {
    const { hostname, port } = new URL(`http://${address}`);
    return new Promise(resolve => {
        const socket = connect({ host: hostname, port: Number(port), noDelay: true });
        const end = (refused: boolean) => {
            clearTimeout(timer);
            socket.destroy();
            resolve(refused);
        };
        const timer = setTimeout(() => end(false), probeTimeoutMs);
        socket.once("connect", () => end(false));
        socket.once("error", (err: NodeJS.ErrnoException) => end(err.code === "ECONNREFUSED"));
    });
}
