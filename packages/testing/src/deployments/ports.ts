/** Free ports on loopback addresses of a deployment's own. */
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";

let deployments = 0;

/**
 * An address in 127.0.0.0/8 that no other deployment of this or another test
 * process uses. Outgoing connections start from 127.0.0.1, so none of them can
 * take a port here between the choice of a port and the start of its process.
 */
export function ownAddress(): string {
    deployments += 1;
    const high = 64 + (process.pid >> 8 & 127);
    return `127.${high}.${process.pid & 255}.${1 + deployments % 250}`;
}

/** So many ports that are free at the address, all different. */
export async function freePorts(address: string, count: number): Promise<number[]> {
    const servers = Array.from({ length: count }, () => createServer().listen(0, address));
    await Promise.all(servers.map(server => once(server, "listening")));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => {
        const closed = once(server, "close");
        server.close();
        return closed;
    }));
    return ports;
}
