/** A mock weight store with a rate limit and limited bandwidth. */
import fastify, { type FastifyInstance } from "fastify";
import { setTimeout as delay } from "node:timers/promises";

export interface WeightStoreOptions {
    readonly ratePerSecond: number;
    /** Number of concurrent loads that are served at full speed. */
    readonly atOnce: number;
    /** Duration of one load at full speed. */
    readonly loadMs: number;
}

const tooManyRequestsStatus = 429;

export class MockWeightStore {
    public readonly stats = { loads: 0, refused: 0, mostAtOnce: 0 };
    private readonly app: FastifyInstance = fastify({ forceCloseConnections: true });
    private readonly requestTimes: number[] = [];
    private activeLoads = 0;

    public constructor(private readonly options: WeightStoreOptions) {
        this.app.get("/weights/:item", async (_req, reply) => {
            if (!this.tryAcquire()) {
                this.stats.refused += 1;
                return reply.code(tooManyRequestsStatus).send({});
            }
            this.activeLoads += 1;
            this.stats.loads += 1;
            this.stats.mostAtOnce = Math.max(this.stats.mostAtOnce, this.activeLoads);
            await delay(this.options.loadMs * Math.max(1, this.activeLoads / this.options.atOnce));
            this.activeLoads -= 1;
            return { weights: "here" };
        });
        this.app.get("/stand-in/facts", () => this.stats);
    }

    public async listen(port: number, host = "127.0.0.1"): Promise<string> {
        return this.app.listen({ host, port });
    }

    public async close(): Promise<void> {
        await this.app.close();
    }

    /** Allows twice the rate within one second, since evenly sent requests may arrive in bursts. */
    private tryAcquire(): boolean {
        const now = Date.now();
        const recentTimes = this.requestTimes.filter(requestedAt => now - requestedAt < 1000);
        this.requestTimes.splice(0, this.requestTimes.length, ...recentTimes, now);
        return recentTimes.length < Math.max(2, this.options.ratePerSecond * 2);
    }
}
