/** A link to a worker: forwards its connections, and can let one go silent for good without a reset. */
import { connect, createServer } from "node:net";

export class Link {
    pairs = [];

    /** Opens a link to `target` (IP:PORT); resolves to the address under which the worker is reached through it. */
    static async open(target) {
        const link = new Link();
        const [host, port] = target.split(":");
        link.server = createServer({ allowHalfOpen: true }, outer => link.accept(outer, host, Number(port)));
        await new Promise(resolve => link.server.listen(0, "127.0.0.1", resolve));
        link.address = `127.0.0.1:${link.server.address().port}`;
        return link;
    }

    accept(outer, host, port) {
        const inner = connect({ host, port, allowHalfOpen: true });
        const pair = { outer, inner, isSilent: false, text: "" };
        this.pairs.push(pair);
        outer.on("data", chunk => {
            pair.text += chunk.toString("latin1");
            if (!pair.isSilent) {
                inner.write(chunk);
            }
        });
        outer.on("end", () => pair.isSilent || inner.end());
        inner.on("data", chunk => pair.isSilent || outer.write(chunk));
        // The kernel of a crashed worker's machine closes its connections and refuses new ones.
        inner.on("end", () => pair.isSilent || outer.end());
        inner.on("error", () => pair.isSilent || outer.destroy());
        outer.on("error", () => inner.destroy());
    }

    /** Lets the connection that carries this request go silent; returns whether there is one. */
    silence(id) {
        const pair = this.pairs.find(({ text }) => text.includes(id));
        if (pair !== undefined) {
            pair.isSilent = true;
        }
        return pair !== undefined;
    }

    /** The worker's machine listens no more. */
    refuse() {
        this.server.close();
    }

    close() {
        this.server.close();
        this.pairs.forEach(({ outer, inner }) => {
            outer.destroy();
            inner.destroy();
        });
    }
}
