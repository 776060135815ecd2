/** Detects whether a process has ended, by its host refusing connections to its address. */
import { startFairTimer } from "@winchpath/core";
import { connect } from "node:net";

/** Without an answer within this time, in milliseconds, nothing is known about the process. */
const probeTimeoutMs = 300;

/** Whether connections to an address are refused. A timeout counts as not refused, since the process may still run. */
export function refusesConnections(address: string): Promise<boolean> {
    const { hostname, port } = new URL(`http://${address}`);
    return new Promise(resolve => {
        const socket = connect({ host: hostname, port: Number(port), noDelay: true });
        const finish = (refused: boolean) => {
            timer.cancel();
            socket.destroy();
            resolve(refused);
        };
        const timer = startFairTimer(() => finish(false), probeTimeoutMs);
        socket.once("connect", () => finish(false));
        socket.once("error", (err: NodeJS.ErrnoException) => finish(err.code === "ECONNREFUSED"));
    });
}
