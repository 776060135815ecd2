/** Free ports on loopback. */
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";

/** So many ports that were free just now, all different. */
export async function freePorts(count: number): Promise<number[]> {
    const servers = Array.from({ length: count }, () => createServer().listen(0, "127.0.0.1"));
    await Promise.all(servers.map(server => once(server, "listening")));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => {
        const closed = once(server, "close");
        server.close();
        return closed;
    }));
    return ports;
}
