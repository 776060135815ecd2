/** The leader's side of the software versions: proposes new ones, holds their upstreams back, and retires old ones. */
import { type EventLog, messageOf, sleep, steadyNow } from "@winchpath/core";
import { type Upstream } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type Registry } from "./registries.js";
import {
    type CommittedVersion,
    maxVersionsPerService,
    type SoftwareVersionCommand,
    type SoftwareVersionState,
    type VersionKey,
} from "./softwareversions.js";

/**
 * A further version of a service is held back for this long after its commit, in milliseconds. Entries whose confirmed
 * set is younger know the version before they see an upstream that has it. Longer than a change of leader takes.
 */
export const versionHoldMs = 4000;
/** A version is retired after no upstream has had it for this long, in milliseconds. */
export const versionRetentionMs = 600_000;
const retirementIntervalMs = 10_000;
/** While upstreams have versions beyond the bound, the set must still show that there are several. */
const minVersionsIfUnlisted = 2;
/** Pause after a failed proposal, in milliseconds. */
const retryMs = 100;

export interface VersionAdmissionOptions {
    readonly state: () => SoftwareVersionState;
    readonly registry: Pick<Registry, "all" | "heldBack" | "heldBackChanged" | "releaseAdmitted">;
    /** Term of the leadership. */
    readonly term: number;
    /** Commits a command; resolves once it is applied locally. */
    readonly propose: (command: SoftwareVersionCommand) => Promise<void>;
    readonly log: EventLog;
}

/** Lives as long as a leadership. */
export class VersionAdmission {
    /** Monotonic time at which an upstream with a version was last known, by {@link keyOf}. */
    private readonly lastSeen = new Map<string, number>();
    /** Versions whose retirement was proposed, with the index at which they had been added. */
    private readonly retiring = new Map<string, number>();
    private readonly logged = new Set<string>();
    private retiredAt = steadyNow();

    public constructor(private readonly options: VersionAdmissionOptions) {}

    /** Whether upstreams with the version may be distributed to entries. */
    public isAdmitted(key: VersionKey): boolean {
        return this.remainingHoldMs(key) <= 0;
    }

    /** Proposes, releases and retires versions until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        const { registry } = this.options;
        while (!signal.aborted) {
            const isProposed = await this.proposeMissing();
            if (signal.aborted) {
                return;
            }
            registry.releaseAdmitted();
            await this.retireUnused();
            if (!isProposed) {
                await sleep(retryMs, signal);
            }
            else if (!signal.aborted && this.missing().length === 0) {
                await registry.heldBackChanged.wait(this.nextDueMs());
            }
        }
    }

    /** Milliseconds until the version may be distributed; infinite if it isn't committed. */
    private remainingHoldMs(key: VersionKey): number {
        const state = this.options.state();
        const committed = state.find(key);
        if (committed === undefined) {
            // The set of a full service has several versions without this one.
            return state.isFull(key.service) ? this.remainingHoldOfFullMs(key.service) : Number.POSITIVE_INFINITY;
        }
        if (this.retiring.get(keyOf(key)) === committed.addedAt) {
            return Number.POSITIVE_INFINITY;
        }
        return committed.isFirst ? 0 : versionHoldMs - state.knownForMs(committed);
    }

    /** Two versions that entries know are enough for them to record streams. */
    private remainingHoldOfFullMs(service: string): number {
        const state = this.options.state();
        const holds = state.versionsOf(service).map(committed => versionHoldMs - state.knownForMs(committed));
        return Math.max(...holds);
    }

    /** Versions of held-back upstreams that must be committed first. */
    private missing(): VersionKey[] {
        const missing = new Map<string, VersionKey>();
        for (const upstream of this.options.registry.heldBack()) {
            const key = versionKeyOf(upstream);
            if (this.remainingHoldMs(key) === Number.POSITIVE_INFINITY) {
                missing.set(keyOf(key), key);
            }
        }
        return [...missing.values()];
    }

    /** Returns false if the proposal has failed. */
    private async proposeMissing(): Promise<boolean> {
        const versions = this.missing();
        if (versions.length === 0) {
            return true;
        }
        const isProposed = await this.propose({ kind: "add", versions });
        if (isProposed) {
            versions.forEach(key => this.logAdded(key));
        }
        return isProposed;
    }

    private logAdded(key: VersionKey): void {
        const { state, log } = this.options;
        if (state().find(key) !== undefined) {
            log.info("software-version.added", { ...key, count: state().versionsOf(key.service).length });
            return;
        }
        if (!this.logged.has(key.service)) {
            this.logged.add(key.service);
            log.warn("software-version.uncounted", { ...key, limit: maxVersionsPerService });
        }
    }

    private async retireUnused(): Promise<void> {
        const now = steadyNow();
        if (now - this.retiredAt < retirementIntervalMs) {
            return;
        }
        this.retiredAt = now;
        const unlisted = this.recordSeen(now);
        const services = new Set(unlisted.map(({ service }) => service));
        const unused = this.options.state().services().flatMap(service =>
            this.unusedOf(service, services.has(service) ? minVersionsIfUnlisted : 0, now)
        );
        if (unused.length === 0) {
            return;
        }
        unused.forEach(committed => this.retiring.set(keyOf(committed), committed.addedAt));
        const versions = unused.map(({ service, version, addedAt }) => ({ service, version, addedAt }));
        if (await this.propose({ kind: "retire", term: this.options.term, versions })) {
            versions.forEach(retired => this.options.log.info("software-version.retired", retired));
        }
        // There is room now for versions that were counted only.
        if (unlisted.length > 0) {
            await this.propose({ kind: "add", versions: unlisted });
        }
    }

    /** Versions of a service that may be retired so that at least `minLeft` versions are left. */
    private unusedOf(service: string, minLeft: number, now: number): CommittedVersion[] {
        const versions = this.options.state().versionsOf(service);
        const unused = versions.filter(committed => this.isUnused(committed, now));
        return unused.slice(0, Math.max(0, versions.length - minLeft));
    }

    /** Returns the versions of known upstreams that aren't in the set. */
    private recordSeen(now: number): VersionKey[] {
        const unlisted = new Map<string, VersionKey>();
        for (const { upstream } of this.options.registry.all()) {
            const key = versionKeyOf(upstream);
            this.lastSeen.set(keyOf(key), now);
            if (this.options.state().find(key) === undefined) {
                unlisted.set(keyOf(key), key);
            }
        }
        return [...unlisted.values()];
    }

    private isUnused(committed: CommittedVersion, now: number): boolean {
        const key = keyOf(committed);
        const seenAt = this.lastSeen.get(key);
        if (seenAt === undefined) {
            this.lastSeen.set(key, now);
            return false;
        }
        return now - seenAt > versionRetentionMs;
    }

    private async propose(command: SoftwareVersionCommand): Promise<boolean> {
        try {
            await this.options.propose(command);
            return true;
        }
        catch (err) {
            this.options.log.warn("software-version.unproposed", { kind: command.kind, error: messageOf(err) });
            return false;
        }
    }

    private nextDueMs(): number {
        const holds = this.options.registry.heldBack().map(upstream => this.remainingHoldMs(versionKeyOf(upstream)));
        return Math.max(1, Math.min(retirementIntervalMs, ...holds));
    }
}

function versionKeyOf({ service, softwareVersion }: Upstream): VersionKey {
    return { service, version: softwareVersion };
}

function keyOf({ service, version }: VersionKey): string {
    return JSON.stringify([service, version]);
}
