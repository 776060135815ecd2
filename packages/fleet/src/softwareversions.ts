/**
 * The replicated set of software versions that the upstreams of each service have. Entries rely on it to know whether a
 * stream may have begun at another version.
 */
import { Notifier, steadyNow } from "@winchpath/core";
import Type, { type Static } from "typebox";
import Value from "typebox/value";

/** Versions that are listed per service. Further ones are counted only. */
export const maxVersionsPerService = 32;

const VersionKey = Type.Object({ service: Type.String(), version: Type.String() });
export type VersionKey = Static<typeof VersionKey>;

const AddVersions = Type.Object({ kind: Type.Literal("add"), versions: Type.Array(VersionKey) });

const RetireVersions = Type.Object({
    kind: Type.Literal("retire"),
    /** Term of the leader that proposes it. */
    term: Type.Integer(),
    versions: Type.Array(Type.Object({
        service: Type.String(),
        version: Type.String(),
        /** As in {@link CommittedVersion}: a version that was added again meanwhile stays. */
        addedAt: Type.Integer(),
    })),
});

export const SoftwareVersionCommand = Type.Union([AddVersions, RetireVersions]);
export type SoftwareVersionCommand = Static<typeof SoftwareVersionCommand>;

const CommittedVersion = Type.Object({
    service: Type.String(),
    version: Type.String(),
    /** Log index of the command that added it last. */
    addedAt: Type.Integer(),
    /** Whether its service had no other version when it was added. */
    isFirst: Type.Boolean(),
});
export type CommittedVersion = Static<typeof CommittedVersion>;

const StoredState = Type.Object({
    position: Type.Integer(),
    versions: Type.Array(CommittedVersion),
    /** Versions beyond the bound, by service. */
    uncounted: Type.Array(Type.Object({ service: Type.String(), count: Type.Integer() })),
});

interface ApplicationContext {
    readonly index: number;
    readonly term: number;
}

/** A slice of the replicated state; commands that can't be decoded are ignored. */
export class SoftwareVersionState {
    public readonly slice = "software-versions";
    /** Notified after each change of the set. */
    public readonly changed = new Notifier();
    private byService = new Map<string, Map<string, CommittedVersion>>();
    private uncounted = new Map<string, number>();
    /** Monotonic time at which this process learnt of a version; not replicated. */
    private readonly learntAt = new WeakMap<CommittedVersion, number>();
    private changes = 0;

    /** Number of changes of the set so far; equal on all replicas. */
    public get position(): number {
        return this.changes;
    }

    public services(): readonly string[] {
        return [...this.byService.keys()];
    }

    public versionsOf(service: string): readonly CommittedVersion[] {
        return [...this.byService.get(service)?.values() ?? []];
    }

    public all(): readonly CommittedVersion[] {
        return this.services().flatMap(service => this.versionsOf(service));
    }

    public find({ service, version }: VersionKey): CommittedVersion | undefined {
        return this.byService.get(service)?.get(version);
    }

    /** Whether further versions of the service are counted only. */
    public isFull(service: string): boolean {
        return (this.byService.get(service)?.size ?? 0) >= maxVersionsPerService;
    }

    /** Versions that were added beyond the bound of the service. */
    public uncountedOf(service: string): number {
        return this.uncounted.get(service) ?? 0;
    }

    /** Milliseconds since this process learnt that the version is committed, which is at most the time since then. */
    public knownForMs(committed: CommittedVersion): number {
        return steadyNow() - this.learntAt.get(committed)!;
    }

    public apply(command: unknown, { index, term }: ApplicationContext): object {
        if (!Value.Check(SoftwareVersionCommand, command)) {
            return {};
        }
        if (command.kind === "add") {
            command.versions.forEach(key => this.add(key, index));
        }
        else if (command.term === term) {
            // Proposals of an earlier leader rest on announcements that the current one may know better.
            command.versions.forEach(retired => this.retire(retired));
        }
        return {};
    }

    public snapshot(): unknown {
        return {
            position: this.changes,
            versions: this.all(),
            uncounted: [...this.uncounted].map(([service, count]) => ({ service, count })),
        };
    }

    public restore(state: unknown): void {
        const stored = Value.Check(StoredState, state) ? state : { position: 0, versions: [], uncounted: [] };
        this.byService = new Map();
        stored.versions.forEach(committed => this.put(committed));
        this.uncounted = new Map(stored.uncounted.map(({ service, count }) => [service, count]));
        this.changes = stored.position;
        this.changed.notify();
    }

    private add({ service, version }: VersionKey, index: number): void {
        const known = this.find({ service, version });
        if (known !== undefined) {
            // Age and position stay: entries know the version already.
            const learntAt = this.learntAt.get(known)!;
            this.put({ ...known, addedAt: index }, learntAt);
            return;
        }
        if (this.isFull(service)) {
            this.uncounted.set(service, this.uncountedOf(service) + 1);
            return;
        }
        this.put({ service, version, addedAt: index, isFirst: !this.byService.has(service) });
        this.recordChange();
    }

    private put(committed: CommittedVersion, learntAt = steadyNow()): void {
        const { service, version } = committed;
        const versions = this.byService.get(service) ?? new Map<string, CommittedVersion>();
        versions.set(version, committed);
        this.byService.set(service, versions);
        this.learntAt.set(committed, learntAt);
    }

    private retire({ service, version, addedAt }: VersionKey & { readonly addedAt: number; }): void {
        const versions = this.byService.get(service);
        if (versions?.get(version)?.addedAt !== addedAt) {
            return;
        }
        versions.delete(version);
        this.uncounted.delete(service);
        if (versions.size === 0) {
            this.byService.delete(service);
        }
        this.recordChange();
    }

    private recordChange(): void {
        this.changes += 1;
        this.changed.notify();
    }
}
