/** Replicated state machine of what each accelerator holds or may hold. */
import {
    type FencingNumber,
    type Holding,
    type LedgerCommand,
    type LedgerResult,
    type LedgerUpstream,
    type Settlement,
} from "./schemas.js";

interface State {
    readonly upstreams: RegisteredUpstream[];
    readonly holdings: Holding[];
}

/** An upstream and the fencing number of the barrier that its current incarnation must pass. */
export interface RegisteredUpstream extends LedgerUpstream {
    readonly fence: FencingNumber;
}

interface Context {
    readonly index: number;
    readonly term: number;
}

/**
 * An accelerator's memory use is the sum of all its holdings in any state. Loads
 * that would exceed its memory are rejected when the command is applied, so no
 * leader can order them.
 */
export class Ledger {
    public readonly slice = "ledger";
    private upstreams = new Map<string, RegisteredUpstream>();
    /** By upstream, then by accelerator and item. */
    private holdings = new Map<string, Map<string, Holding>>();

    public upstream(name: string): RegisteredUpstream | undefined {
        return this.upstreams.get(name);
    }

    public listUpstreams(): RegisteredUpstream[] {
        return [...this.upstreams.values()];
    }

    public list(): Holding[] {
        return [...this.holdings.values()].flatMap(held => [...held.values()]);
    }

    /** Returns what one upstream holds or may hold. */
    public holdingsOf(upstream: string): Holding[] {
        return [...this.holdings.get(upstream)?.values() ?? []];
    }

    /** Unreserved bytes of an accelerator. */
    public freeBytes(upstream: string, accelerator: string): number {
        const known = this.upstreams.get(upstream)?.accelerators.find(({ name }) => name === accelerator);
        const held = this.holdingsOf(upstream).filter(holding => holding.accelerator === accelerator);
        return (known?.bytes ?? 0) - held.reduce((sum, holding) => sum + holding.bytes, 0);
    }

    public apply(command: unknown, context: Context): LedgerResult {
        const fence = { term: context.term, index: context.index };
        const ledgerCommand = command as LedgerCommand;
        switch (ledgerCommand.op) {
            case "register":
                ledgerCommand.upstreams.forEach(upstream => this.upstreams.set(upstream.name, { ...upstream, fence }));
                return { tag: "ordered", fence };
            case "load":
                return this.applyLoad(ledgerCommand, fence);
            case "unload":
                return this.applyUnload(ledgerCommand, fence);
            case "settle":
                ledgerCommand.settlements.forEach(settlement => this.applySettlement(settlement));
                ledgerCommand.adoptions.forEach(adoption => {
                    this.put({ ...adoption, state: "resident", fence });
                });
                return { tag: "ordered", fence };
        }
    }

    public snapshot(): State {
        return { upstreams: this.listUpstreams(), holdings: this.list() };
    }

    public restore(state: unknown): void {
        const { upstreams, holdings } = state as State;
        this.upstreams = new Map(upstreams.map(upstream => [upstream.name, upstream]));
        this.holdings = new Map();
        holdings.forEach(holding => this.put(holding));
    }

    private applyLoad(load: Extract<LedgerCommand, { op: "load"; }>, fence: FencingNumber): LedgerResult {
        const { upstream, accelerator, item, bytes } = load;
        const rejection = this.rejectionReason(load);
        if (rejection !== undefined) {
            return { tag: "refused", reason: rejection };
        }
        if (this.find(load) !== undefined) {
            return { tag: "refused", reason: "it is held there already" };
        }
        const free = this.freeBytes(upstream, accelerator);
        if (bytes > free) {
            return { tag: "refused", reason: `${bytes} bytes do not fit the ${free} that are free` };
        }
        this.put({ upstream, accelerator, item, bytes, state: "loading", fence });
        return { tag: "ordered", fence };
    }

    private applyUnload(unload: Extract<LedgerCommand, { op: "unload"; }>, fence: FencingNumber): LedgerResult {
        const held = this.find(unload);
        const rejection = this.rejectionReason(unload);
        if (rejection !== undefined || held === undefined) {
            return { tag: "refused", reason: rejection ?? "it is not held there" };
        }
        this.put({ ...held, state: "unloading", fence });
        return { tag: "ordered", fence };
    }

    private find(location: HoldingLocation): Holding | undefined {
        return this.holdings.get(location.upstream)?.get(holdingKey(location));
    }

    private put(holding: Holding): void {
        let held = this.holdings.get(holding.upstream);
        if (held === undefined) {
            held = new Map();
            this.holdings.set(holding.upstream, held);
        }
        held.set(holdingKey(holding), holding);
    }

    private rejectionReason(
        order: { upstream: string; accelerator: string; incarnation: string; },
    ): string | undefined {
        const known = this.upstreams.get(order.upstream);
        if (known?.incarnation !== order.incarnation) {
            return "the agent has restarted";
        }
        return known.accelerators.some(({ name }) => name === order.accelerator)
            ? undefined
            : "no such accelerator";
    }

    /** Ignores findings that refer to an earlier order than the holding's latest. */
    private applySettlement(settlement: Settlement): void {
        const held = this.find(settlement);
        if (
            held === undefined || held.fence.term !== settlement.fence.term
            || held.fence.index !== settlement.fence.index
        ) {
            return;
        }
        if (settlement.found === "gone") {
            this.holdings.get(held.upstream)!.delete(holdingKey(held));
        }
        else {
            this.put({ ...held, state: "resident" });
        }
    }
}

export interface HoldingLocation {
    readonly upstream: string;
    readonly accelerator: string;
    readonly item: string;
}

function holdingKey(location: HoldingLocation): string {
    return `${location.accelerator}/${location.item}`;
}

export function isSettled(fence: FencingNumber, settled: FencingNumber): boolean {
    return settled.term > fence.term || (settled.term === fence.term && settled.index >= fence.index);
}
