/** A plain service to test against: it books, and counts how often each booking ran. */
import fastify, { type FastifyInstance } from "fastify";
import { setTimeout as delay } from "node:timers/promises";

export interface ServiceFacts {
    /** How often each booking was made, by its name. */
    readonly bookings: Record<string, number>;
    readonly lastStartedAt: number;
}

interface Booking {
    readonly booking: string;
    /** Time that the booking takes. */
    readonly delayMs?: number;
}

export class StandInService {
    public readonly facts: ServiceFacts = { bookings: {}, lastStartedAt: 0 };
    private readonly app: FastifyInstance = fastify({ forceCloseConnections: true });

    public constructor() {
        this.app.post("/bookings", async req => {
            const { booking, delayMs = 0 } = req.body as Booking;
            this.facts.bookings[booking] = (this.facts.bookings[booking] ?? 0) + 1;
            (this.facts as { lastStartedAt: number; }).lastStartedAt = Date.now();
            await delay(delayMs);
            return { booking, run: this.facts.bookings[booking] };
        });
        this.app.get("/quotes/:symbol", async req => req.params);
        this.app.get("/stand-in/facts", () => this.facts);
    }

    public async listen(port: number, host = "127.0.0.1"): Promise<string> {
        return this.app.listen({ host, port });
    }

    public async close(): Promise<void> {
        await this.app.close();
    }
}
