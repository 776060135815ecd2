/**
 * Orders the waiting requests of a service by the virtual work of their accounts: work divided by weight. An account
 * that was idle continues from the virtual time, so that it accumulates no credit. This is start-time fair queueing (P.
 * Goyal et al., SIGCOMM 1996) with the cost of virtual token counters (Y. Sheng et al., OSDI 2024).
 */

/** Place of a waiting request in the order. */
export interface WaitTicket {
    readonly account: string;
    readonly work: number;
    /** Virtual work at which the request starts; lower values are served first. */
    readonly tag: number;
}

export class VirtualClock {
    /** Virtual work of each account. */
    private readonly counters = new Map<string, number>();
    private readonly waiting = new Set<WaitTicket>();
    private time = 0;

    /** `weightOf`: returns the weight of an account. */
    public constructor(private readonly weightOf: (account: string) => number) {}

    public get waitingCount(): number {
        return this.waiting.size;
    }

    /** Virtual work at which the account continues, apart from its waiting requests. */
    public positionOf(account: string): number {
        return Math.max(this.time, this.counters.get(account) ?? 0);
    }

    /** Virtual work at which the next request of the account starts, behind those that are already waiting. */
    public nextTag(account: string): number {
        let waitingWork = 0;
        for (const ticket of this.waiting) {
            waitingWork += ticket.account === account ? ticket.work : 0;
        }
        return this.positionOf(account) + waitingWork / this.weightOf(account);
    }

    /** `tag`: of a request that returns to the queue; otherwise it is placed behind those of its account. */
    public enter(account: string, work: number, tag = this.nextTag(account)): WaitTicket {
        const ticket = { account, work, tag };
        this.waiting.add(ticket);
        return ticket;
    }

    public leave(ticket: WaitTicket): void {
        this.waiting.delete(ticket);
    }

    /** Records work that is sent to an upstream; `ticket` of a request that has waited. */
    public serve(account: string, work: number, ticket?: WaitTicket): void {
        if (ticket !== undefined) {
            this.leave(ticket);
        }
        const start = this.positionOf(account);
        let next = ticket?.tag ?? start;
        for (const { tag } of this.waiting) {
            next = Math.min(next, tag);
        }
        this.time = Math.max(this.time, next);
        this.counters.set(account, start + work / this.weightOf(account));
    }

    /** Adds virtual work that other entries have served; negative to return work that was not executed. */
    public advance(account: string, virtualWork: number): void {
        this.counters.set(account, Math.max(this.time, this.positionOf(account) + virtualWork));
    }

    /** Forgets past work once no request has waited for long: use of spare capacity doesn't count later. */
    public reset(): void {
        this.counters.clear();
        this.time = 0;
    }

    public remove(account: string): void {
        this.counters.delete(account);
    }
}
