/** The declarations as replicated state: versions, conflicts, change ids, watch. */
import { FailureCode, type Issue, Notifier } from "@winchpath/core";
import { createHash } from "node:crypto";
import { type Change, type ChangeItem, type ChangeResult, type Kind, type Resource } from "./schemas.js";

/** Change ids that are remembered; at the aim's 11,000 changes a day, almost two days. */
const rememberedChanges = 20_000;
/** Changes that a watcher may be behind before it gets everything anew. */
const rememberedEvents = 5000;

/** One resource that changed. */
export interface DeclarationEvent {
    readonly revision: number;
    readonly op: "put" | "delete";
    readonly kind: Kind;
    readonly name: string;
}

interface RememberedChange {
    readonly digest: string;
    readonly result: ChangeResult;
}

interface State {
    readonly revision: number;
    readonly resources: Resource[];
    readonly changes: [string, RememberedChange][];
}

/** Where in the log a change stands. */
interface Context {
    readonly index: number;
}

/**
 * Specs are checked before a change is proposed, never here: a replica of
 * another release must come to the same state.
 */
export class Declarations {
    public readonly slice = "declarations";
    /** Notified after every accepted change. */
    public readonly changed = new Notifier();
    private resources = new Map<string, Resource>();
    private changes = new Map<string, RememberedChange>();
    private events: DeclarationEvent[] = [];
    private currentRevision = 0;
    /** Events up to this revision are no longer remembered. */
    private eventFloor = 0;

    /** Log index of the last accepted change. */
    public get revision(): number {
        return this.currentRevision;
    }

    public get(kind: Kind, name: string): Resource | undefined {
        return this.resources.get(keyOf(kind, name));
    }

    /** All resources of a kind, or of all kinds, by name. */
    public list(kind?: Kind): Resource[] {
        const all = [...this.resources.values()].filter(resource => kind === undefined || resource.kind === kind);
        return all.sort((a, b) => a.kind === b.kind ? (a.name < b.name ? -1 : 1) : a.kind < b.kind ? -1 : 1);
    }

    /** What changed after `revision`; undefined where that is no longer remembered. */
    public eventsSince(revision: number): DeclarationEvent[] | undefined {
        return revision < this.eventFloor ? undefined : this.events.filter(event => event.revision > revision);
    }

    public apply(command: unknown, context: Context): ChangeResult {
        const change = command as Change;
        const digest = createHash("sha256").update(JSON.stringify(change.items)).digest("base64url");
        const earlier = this.changes.get(change.changeId);
        if (earlier !== undefined) {
            return earlier.digest === digest ? earlier.result : refused([reusedId(change.changeId)]);
        }
        const result = this.applyNew(change, context.index);
        this.remember(change.changeId, { digest, result });
        return result;
    }

    public snapshot(): State {
        return { revision: this.currentRevision, resources: this.list(), changes: [...this.changes] };
    }

    public restore(state: unknown): void {
        const { revision, resources, changes } = state as State;
        this.currentRevision = revision;
        this.resources = new Map(resources.map(resource => [keyOf(resource.kind, resource.name), resource]));
        this.changes = new Map(changes);
        this.events = [];
        this.eventFloor = revision;
        this.changed.notify();
    }

    private applyNew(change: Change, revision: number): ChangeResult {
        const issues = change.items.flatMap((item, index) => this.conflictsOf(item, index));
        const next = new Map(this.resources);
        const changed = change.items.filter(item => !this.isAsDeclared(item));
        changed.forEach(item => applyItem(next, item, change, revision));
        issues.push(...danglingReferences(next, change.items));
        if (issues.length > 0) {
            return refused(issues);
        }
        const unchanged = change.items.length - changed.length;
        if (changed.length === 0) {
            return { tag: "accepted", revision: this.currentRevision, unchanged };
        }
        this.resources = next;
        this.currentRevision = revision;
        this.recordEvents(changed, revision);
        this.changed.notify();
        return { tag: "accepted", revision, unchanged };
    }

    private conflictsOf(item: ChangeItem, index: number): Issue[] {
        const current = this.get(item.kind, item.name);
        const version = current?.version ?? 0;
        if (version === item.baseVersion) {
            return [];
        }
        const winner = current === undefined
            ? "it does not exist"
            : `${current.operator} made version ${version} of it by change ${current.changeId}`;
        const message = `${item.kind} ${item.name} was to be changed from version ${item.baseVersion}, but ${winner}`;
        return [{ code: FailureCode.conflict, path: ["items", index], message }];
    }

    private isAsDeclared(item: ChangeItem): boolean {
        const current = this.get(item.kind, item.name);
        return item.op === "put" && current !== undefined && JSON.stringify(current.spec) === JSON.stringify(item.spec);
    }

    private recordEvents(items: readonly ChangeItem[], revision: number): void {
        this.events.push(...items.map(({ op, kind, name }) => ({ revision, op, kind, name })));
        const surplus = this.events.length - rememberedEvents;
        if (surplus > 0) {
            this.eventFloor = this.events[surplus - 1].revision;
            this.events = this.events.filter(event => event.revision > this.eventFloor);
        }
    }

    private remember(changeId: string, change: RememberedChange): void {
        this.changes.set(changeId, change);
        if (this.changes.size > rememberedChanges) {
            this.changes.delete(this.changes.keys().next().value!);
        }
    }
}

function keyOf(kind: Kind, name: string): string {
    return `${kind}/${name}`;
}

function applyItem(resources: Map<string, Resource>, item: ChangeItem, change: Change, revision: number): void {
    const key = keyOf(item.kind, item.name);
    if (item.op === "delete") {
        resources.delete(key);
        return;
    }
    const { operator, changeId } = change;
    resources.set(key, { kind: item.kind, name: item.name, version: revision, operator, changeId, spec: item.spec });
}

/** Adapters need their model, and callers tell models and adapters apart by name alone. */
function danglingReferences(resources: ReadonlyMap<string, Resource>, items: readonly ChangeItem[]): Issue[] {
    const issues: Issue[] = [];
    const touched = new Set(items.map(item => item.name));
    for (const resource of resources.values()) {
        if (resource.kind !== "Adapter") {
            continue;
        }
        const { model } = resource.spec as { model: string; };
        const path = ["items", items.findIndex(item => item.name === resource.name || item.name === model)];
        if (!resources.has(keyOf("Model", model)) && (touched.has(resource.name) || touched.has(model))) {
            const message = `Adapter ${resource.name} needs Model ${model}, which is not declared`;
            issues.push({ code: FailureCode.invalid, path, message });
        }
        if (resources.has(keyOf("Model", resource.name)) && touched.has(resource.name)) {
            const message = `${resource.name} is the name of a Model and of an Adapter`;
            issues.push({ code: FailureCode.invalid, path, message });
        }
    }
    return issues;
}

function refused(issues: readonly Issue[]): ChangeResult {
    return { tag: "refused", issues: issues.map(issue => ({ ...issue, path: [...issue.path] })) };
}

function reusedId(changeId: string): Issue {
    return {
        code: FailureCode.conflict,
        path: ["changeId"],
        message: `change id ${changeId} belongs to another change`,
    };
}
