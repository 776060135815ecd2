/** A weight store to test against: so many loads a second, so many at once at full speed. */
import fastify, { type FastifyInstance } from "fastify";
import { setTimeout as delay } from "node:timers/promises";

export interface StoreOptions {
    readonly ratePerSecond: number;
    readonly atOnce: number;
    /** Time of one load at full speed. */
    readonly loadMs: number;
}

const tooManyStatus = 429;

export class StandInStore {
    /** Most loads in any second, and at once. */
    public readonly facts = { loads: 0, refused: 0, mostAtOnce: 0 };
    private readonly app: FastifyInstance = fastify({ forceCloseConnections: true });
    private readonly times: number[] = [];
    private current = 0;

    public constructor(private readonly options: StoreOptions) {
        this.app.get("/weights/:item", async (_req, reply) => {
            if (!this.admit()) {
                this.facts.refused += 1;
                return reply.code(tooManyStatus).send({});
            }
            this.current += 1;
            this.facts.loads += 1;
            this.facts.mostAtOnce = Math.max(this.facts.mostAtOnce, this.current);
            await delay(this.options.loadMs * Math.max(1, this.current / this.options.atOnce));
            this.current -= 1;
            return { weights: "here" };
        });
        this.app.get("/stand-in/facts", () => this.facts);
    }

    public async listen(port: number, host = "127.0.0.1"): Promise<string> {
        return this.app.listen({ host, port });
    }

    public async close(): Promise<void> {
        await this.app.close();
    }

    /** Twice the rate is let through in any one second: what leaves evenly may arrive bunched. */
    private admit(): boolean {
        const now = Date.now();
        const lately = this.times.filter(time => now - time < 1000);
        this.times.splice(0, this.times.length, ...lately, now);
        return lately.length < Math.max(2, this.options.ratePerSecond * 2);
    }
}
