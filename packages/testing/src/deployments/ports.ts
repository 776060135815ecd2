/** Allocation of loopback addresses and ports for tests that run in parallel. */
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";

let addressCount = 0;

/**
 * Returns an address in 127.0.0.0/8 that is derived from the process id and a counter, so that concurrent deployments
 * don't share it. Outgoing connections use 127.0.0.1 and therefore can't occupy a port here before its server starts.
 */
export function allocateLoopbackAddress(): string {
    addressCount += 1;
    const high = 64 + (process.pid >> 8 & 127);
    return `127.${high}.${process.pid & 255}.${1 + addressCount % 250}`;
}

/** Returns distinct free ports at the address. */
export async function findFreePorts(address: string, count: number): Promise<number[]> {
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
