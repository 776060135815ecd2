/** A link between clients and a machine: a proxy that passes bytes and ends of connections on after a fixed delay. */
import { connect, createServer } from "node:net";

/** Resolves to the link's own address; `close` ends it. */
export async function openLink(target, delayMs) {
    const [host, port] = target.split(":");
    const sockets = new Set();
    const server = createServer({ allowHalfOpen: true }, near => {
        const far = connect({ host, port, allowHalfOpen: true, noDelay: true });
        near.setNoDelay(true);
        for (const [from, to] of [[near, far], [far, near]]) {
            sockets.add(from);
            const later = action => setTimeout(() => to.destroyed || action(), delayMs);
            from.on("data", chunk => later(() => to.write(chunk)));
            from.on("end", () => later(() => to.end()));
            from.on("error", () => later(() => to.destroy()));
            from.on("close", () => {
                sockets.delete(from);
                later(() => to.destroySoon());
            });
        }
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        close: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}
