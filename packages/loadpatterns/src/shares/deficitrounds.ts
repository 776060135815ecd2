/**
 * Deficit round robin (M. Shreedhar and G. Varghese, SIGCOMM 1995) between the accounts whose requests wait at one entry,
 * for comparison: a request is served in the round in which the quanta of its account cover its work.
 */
import { type InboundRequest } from "@winchpath/forwarding";
import { type SharePolicy } from "./entries.js";

/** Work that an account may send in one round. */
const quantum = 1;

export class DeficitRounds implements SharePolicy {
    private readonly rounds = new Map<InboundRequest, number>();
    private readonly lastRounds = new Map<string, number>();
    private round = 0;

    public constructor(private readonly weightOf: (account: string) => number) {}

    public compare(a: InboundRequest, b: InboundRequest): number {
        return a.priority - b.priority || (this.rounds.get(a) ?? 0) - (this.rounds.get(b) ?? 0);
    }

    public isReservedForOthers(): boolean {
        return false;
    }

    public isBehindOthers(): boolean {
        return this.rounds.size > 0;
    }

    public recheckIntervalMs(): undefined {
        return undefined;
    }

    public enter(request: InboundRequest): void {
        if (!this.rounds.has(request)) {
            const { account } = request.grant!;
            const round = Math.max(this.round, this.lastRounds.get(account) ?? 0)
                + 1 / (quantum * this.weightOf(account));
            this.lastRounds.set(account, round);
            this.rounds.set(request, round);
        }
    }

    public leave(request: InboundRequest): void {
        this.rounds.delete(request);
    }

    public served(request: InboundRequest): void {
        this.round = Math.max(this.round, this.rounds.get(request) ?? 0);
    }

    public refusal(): undefined {
        return undefined;
    }
}
