/** Maps the priorities of accounts and routes to priority levels; the account's comes first. */
import { type Configuration, type Route } from "@winchpath/declarations";

/** Number of levels that upstreams support. */
const levelCount = 10;

interface PriorityPair {
    readonly account: number;
    readonly route: number;
}

export class PriorityLevels {
    /** Level by priority pair; undefined if no accounts are configured and the route's priority is the level. */
    private readonly byPair: ReadonlyMap<string, number> | undefined;

    public constructor({ accounts, routes }: Configuration) {
        this.byPair = accounts === undefined
            ? undefined
            : levelsOf(accounts.map(({ priority }) => priority), routes.map(({ priority }) => priority));
    }

    /** Returns the level, 0 being the most urgent. Without an account priority the route's is used for both. */
    public levelOf(route: Route, accountPriority: number | undefined): number {
        const pair = pairOf(accountPriority, route.priority);
        return this.byPair === undefined ? route.priority : this.byPair.get(keyOf(pair)) ?? levelCount - 1;
    }
}

/** Assigns a level to each pair in order; adjacent pairs share a level if there are more pairs than levels. */
function levelsOf(accounts: readonly (number | undefined)[], routes: readonly number[]): Map<string, number> {
    const pairs = new Map<string, PriorityPair>();
    for (const account of new Set([undefined, ...accounts])) {
        for (const route of new Set(routes)) {
            const pair = pairOf(account, route);
            pairs.set(keyOf(pair), pair);
        }
    }
    const order = [...pairs].sort(([, a], [, b]) => a.account - b.account || a.route - b.route);
    const perLevel = Math.max(1, order.length / levelCount);
    return new Map(order.map(([name], rank) => [name, Math.floor(rank / perLevel)]));
}

function pairOf(account: number | undefined, route: number): PriorityPair {
    return { account: account ?? route, route };
}

function keyOf({ account, route }: PriorityPair): string {
    return `${account} ${route}`;
}
