/** A mock booking service that counts how often each booking was executed. */
import fastify, { type FastifyInstance } from "fastify";
import { setTimeout as delay } from "node:timers/promises";

export interface ServiceStats {
    /** Number of executions by booking name. */
    readonly bookings: Record<string, number>;
    readonly lastStartedAt: number;
}

interface BookingRequest {
    readonly booking: string;
    /** Simulated processing time. */
    readonly delayMs?: number;
}

export class MockService {
    public readonly stats: ServiceStats = { bookings: {}, lastStartedAt: 0 };
    private readonly app: FastifyInstance = fastify({ forceCloseConnections: true });

    public constructor() {
        this.app.post("/bookings", async req => {
            const { booking, delayMs = 0 } = req.body as BookingRequest;
            this.stats.bookings[booking] = (this.stats.bookings[booking] ?? 0) + 1;
            (this.stats as { lastStartedAt: number; }).lastStartedAt = Date.now();
            await delay(delayMs);
            return { booking, run: this.stats.bookings[booking] };
        });
        this.app.get("/quotes/:symbol", async req => req.params);
        this.app.get("/stand-in/facts", () => this.stats);
    }

    public async listen(port: number, host = "127.0.0.1"): Promise<string> {
        return this.app.listen({ host, port });
    }

    public async close(): Promise<void> {
        await this.app.close();
    }
}
