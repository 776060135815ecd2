/** The scenarios that are compared, and the comparison with an undisturbed run. */
import { accountNames, runShareScenario, type ShareMode, type ShareScenario } from "./scenarios.js";

const entryCounts = [3, 31, 300];
const noise = 6;

/** One account at a multiple of its usual load, through two entries. */
function noisy(entries: number): ShareScenario {
    const name = `one noisy account, ${entries} entries`;
    return { name, entries, seconds: 26, noisyAccounts: ["a2"], noise, from: 4, to: 24 };
}

/** Entries restart without state, at first those of the noisy account. */
function restarts(entries: number): ShareScenario {
    return { ...noisy(entries), name: `one noisy account, restarts, ${entries} entries`, restartInterval: 3 };
}

/** Three accounts of different sizes are noisy at the same time. */
function threeNoisy(entries: number): ShareScenario {
    return { ...noisy(entries), name: `three noisy accounts, ${entries} entries`, noisyAccounts: ["a1", "a4", "a8"] };
}

function leaderLost(entries: number): ShareScenario {
    return { ...noisy(entries), name: `one noisy account, leader lost for 3 s, ${entries} entries`, leaderLostAt: 10 };
}

export const shareScenarios: readonly ShareScenario[] = entryCounts.flatMap(entries => [
    noisy(entries),
    leaderLost(entries),
    threeNoisy(entries),
    restarts(entries),
]);

export interface ShareComparison {
    /** Fraction of what the other accounts get without the noise that they lose to it, all together and at worst. */
    readonly othersLoss: number;
    readonly worstLoss: number;
    /** What a noisy account gets, relative to what it gets without the noise; the least of several. */
    readonly noisyGain: number;
    /** Requests served in all. */
    readonly total: number;
}

/** Accounts with fewer requests in all runs are left out of the worst loss, since single requests would decide it. */
const minRequests = 300;

/** Compares runs with and without noise over several seeds. Without noise nothing is shared. */
export async function compareShares(
    scenario: ShareScenario,
    mode: ShareMode,
    seeds: readonly number[],
): Promise<ShareComparison> {
    const quiet = new Map<string, number>();
    const loud = new Map<string, number>();
    let total = 0;
    for (const seed of seeds) {
        const before = await runShareScenario({ ...scenario, noise: 1 }, "none", seed);
        const after = await runShareScenario(scenario, mode, seed);
        addAll(quiet, before.served);
        addAll(loud, after.served);
        total += after.total;
    }
    const { noisyAccounts } = scenario;
    const others = accountNames.filter(name => !noisyAccounts.includes(name));
    const lossOf = (names: readonly string[]) => 1 - sumOf(loud, names) / sumOf(quiet, names);
    const losses = others.filter(name => (quiet.get(name) ?? 0) >= minRequests).map(name => lossOf([name]));
    return {
        othersLoss: lossOf(others),
        worstLoss: Math.max(...losses),
        noisyGain: Math.min(...noisyAccounts.map(name => 1 - lossOf([name]))),
        total,
    };
}

function addAll(sums: Map<string, number>, counts: ReadonlyMap<string, number>): void {
    counts.forEach((count, name) => sums.set(name, (sums.get(name) ?? 0) + count));
}

function sumOf(counts: ReadonlyMap<string, number>, names: readonly string[]): number {
    return names.reduce((sum, name) => sum + (counts.get(name) ?? 0), 0);
}
