/** Replicated state of the declarations, with optimistic concurrency control, idempotent changes and an event history. */
import { FailureCode, type Issue, Notifier } from "@winchpath/core";
import { createHash } from "node:crypto";
import { type Change, type ChangeItem, type ChangeResult, type Kind, type Resource } from "./schemas.js";

/** Change ids that are retained to recognize resent changes: almost two days' worth at 11,000 changes a day. */
const maxRetainedChanges = 20_000;
/** Events that are retained for watchers; one that is further behind has to list all resources again. */
const maxRetainedEvents = 5000;

/** A change of one resource. */
export interface DeclarationEvent {
    readonly revision: number;
    readonly op: "put" | "delete";
    readonly kind: Kind;
    readonly name: string;
}

interface CompletedChange {
    readonly digest: string;
    readonly result: ChangeResult;
}

interface DeclarationsSnapshot {
    readonly revision: number;
    readonly resources: Resource[];
    readonly changes: [string, CompletedChange][];
}

/** Position of a command in the replicated log. */
interface CommandContext {
    readonly index: number;
}

/**
 * Specs are validated before a change is proposed, never here: replicas that
 * run different releases must reach the same state.
 */
export class Declarations {
    public readonly slice = "declarations";
    /** Notified after every accepted change. */
    public readonly changed = new Notifier();
    private resources = new Map<string, Resource>();
    private completedChanges = new Map<string, CompletedChange>();
    private events: DeclarationEvent[] = [];
    private latestRevision = 0;
    /** Events up to this revision have been discarded. */
    private discardedUpTo = 0;

    /** Log index of the last accepted change. */
    public get revision(): number {
        return this.latestRevision;
    }

    public get(kind: Kind, name: string): Resource | undefined {
        return this.resources.get(resourceKey(kind, name));
    }

    /** All resources, or those of one kind, sorted by kind and name. */
    public list(kind?: Kind): Resource[] {
        const all = [...this.resources.values()].filter(resource => kind === undefined || resource.kind === kind);
        return all.sort((a, b) => a.kind === b.kind ? (a.name < b.name ? -1 : 1) : a.kind < b.kind ? -1 : 1);
    }

    /** Events after `revision`, or undefined if some of them have been discarded. */
    public eventsSince(revision: number): DeclarationEvent[] | undefined {
        return revision < this.discardedUpTo ? undefined : this.events.filter(event => event.revision > revision);
    }

    public apply(command: unknown, context: CommandContext): ChangeResult {
        const change = command as Change;
        const digest = createHash("sha256").update(JSON.stringify(change.items)).digest("base64url");
        const earlier = this.completedChanges.get(change.changeId);
        if (earlier !== undefined) {
            return earlier.digest === digest ? earlier.result : refusal([reusedChangeId(change.changeId)]);
        }
        const result = this.applyNew(change, context.index);
        this.recordChange(change.changeId, { digest, result });
        return result;
    }

    public snapshot(): DeclarationsSnapshot {
        return { revision: this.latestRevision, resources: this.list(), changes: [...this.completedChanges] };
    }

    public restore(state: unknown): void {
        const { revision, resources, changes } = state as DeclarationsSnapshot;
        this.latestRevision = revision;
        this.resources = new Map(resources.map(resource => [resourceKey(resource.kind, resource.name), resource]));
        this.completedChanges = new Map(changes);
        this.events = [];
        this.discardedUpTo = revision;
        this.changed.notify();
    }

    private applyNew(change: Change, revision: number): ChangeResult {
        const issues = change.items.flatMap((item, index) => this.findConflicts(item, index));
        const next = new Map(this.resources);
        const changed = change.items.filter(item => !this.isUnchanged(item));
        changed.forEach(item => applyItem(next, item, change, revision));
        issues.push(...validateReferences(next, change.items));
        if (issues.length > 0) {
            return refusal(issues);
        }
        const unchanged = change.items.length - changed.length;
        if (changed.length === 0) {
            return { tag: "accepted", revision: this.latestRevision, unchanged };
        }
        this.resources = next;
        this.latestRevision = revision;
        this.recordEvents(changed, revision);
        this.changed.notify();
        return { tag: "accepted", revision, unchanged };
    }

    private findConflicts(item: ChangeItem, index: number): Issue[] {
        const current = this.get(item.kind, item.name);
        const version = current?.version ?? 0;
        if (version === item.baseVersion) {
            return [];
        }
        const reason = current === undefined
            ? "it does not exist"
            : `${current.operator} made version ${version} of it by change ${current.changeId}`;
        const message = `${item.kind} ${item.name} was to be changed from version ${item.baseVersion}, but ${reason}`;
        return [{ code: FailureCode.conflict, path: ["items", index], message }];
    }

    private isUnchanged(item: ChangeItem): boolean {
        const current = this.get(item.kind, item.name);
        return item.op === "put" && current !== undefined && JSON.stringify(current.spec) === JSON.stringify(item.spec);
    }

    private recordEvents(items: readonly ChangeItem[], revision: number): void {
        this.events.push(...items.map(({ op, kind, name }) => ({ revision, op, kind, name })));
        const excess = this.events.length - maxRetainedEvents;
        if (excess > 0) {
            this.discardedUpTo = this.events[excess - 1].revision;
            this.events = this.events.filter(event => event.revision > this.discardedUpTo);
        }
    }

    private recordChange(changeId: string, change: CompletedChange): void {
        this.completedChanges.set(changeId, change);
        if (this.completedChanges.size > maxRetainedChanges) {
            this.completedChanges.delete(this.completedChanges.keys().next().value!);
        }
    }
}

function resourceKey(kind: Kind, name: string): string {
    return `${kind}/${name}`;
}

function applyItem(resources: Map<string, Resource>, item: ChangeItem, change: Change, revision: number): void {
    const key = resourceKey(item.kind, item.name);
    if (item.op === "delete") {
        resources.delete(key);
        return;
    }
    const { operator, changeId } = change;
    resources.set(key, { kind: item.kind, name: item.name, version: revision, operator, changeId, spec: item.spec });
}

/** Requires that each adapter's model is declared, and that no adapter has the name of a model. */
function validateReferences(resources: ReadonlyMap<string, Resource>, items: readonly ChangeItem[]): Issue[] {
    const issues: Issue[] = [];
    const changedNames = new Set(items.map(item => item.name));
    for (const resource of resources.values()) {
        if (resource.kind !== "Adapter") {
            continue;
        }
        const { model } = resource.spec as { model: string; };
        const path = ["items", items.findIndex(item => item.name === resource.name || item.name === model)];
        if (
            !resources.has(resourceKey("Model", model)) && (changedNames.has(resource.name) || changedNames.has(model))
        ) {
            const message = `Adapter ${resource.name} needs Model ${model}, which is not declared`;
            issues.push({ code: FailureCode.invalid, path, message });
        }
        if (resources.has(resourceKey("Model", resource.name)) && changedNames.has(resource.name)) {
            const message = `${resource.name} is the name of a Model and of an Adapter`;
            issues.push({ code: FailureCode.invalid, path, message });
        }
    }
    return issues;
}

function refusal(issues: readonly Issue[]): ChangeResult {
    return { tag: "refused", issues: issues.map(issue => ({ ...issue, path: [...issue.path] })) };
}

function reusedChangeId(changeId: string): Issue {
    return {
        code: FailureCode.conflict,
        path: ["changeId"],
        message: `change id ${changeId} belongs to another change`,
    };
}
