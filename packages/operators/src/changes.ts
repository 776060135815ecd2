/** Validates changes and commits them through the control group. */
import { encodeCommand, type Replica } from "@winchpath/consensus";
import { type Issue } from "@winchpath/core";
import { type Change, type ChangeItem, type ChangeResult, checkSpec, Declarations } from "@winchpath/declarations";

const proposeTimeoutMs = 10_000;

/** Commits a change. Specs are validated first, so that invalid ones never enter the replicated log. */
export async function commitChange(replica: Replica, change: Change): Promise<ChangeResult> {
    const checked = validateItems(change.items);
    if (checked.tag === "refused") {
        return checked;
    }
    const command = encodeCommand("declarations", { ...change, items: checked.items });
    const { result } = await replica.propose(command, proposeTimeoutMs);
    return JSON.parse(Buffer.from(result).toString()) as ChangeResult;
}

/** Returns the result that a change would have, without committing it. */
export function dryRunChange(declarations: Declarations, change: Change): ChangeResult {
    const checked = validateItems(change.items);
    if (checked.tag === "refused") {
        return checked;
    }
    const copy = new Declarations();
    copy.restore(declarations.snapshot());
    return copy.apply({ ...change, items: checked.items }, { index: declarations.revision + 1 });
}

type ValidatedItems =
    | { readonly tag: "checked"; readonly items: ChangeItem[]; }
    | Extract<ChangeResult, { tag: "refused"; }>;

function validateItems(items: readonly ChangeItem[]): ValidatedItems {
    const issues: Issue[] = [];
    const validated = items.map((item, index): ChangeItem => {
        if (item.op === "delete") {
            return item;
        }
        const spec = checkSpec(item.kind, item.spec);
        if (spec.err) {
            issues.push(...spec.val.issues.map(issue => ({ ...issue, path: ["items", index, "spec", ...issue.path] })));
            return item;
        }
        return { ...item, spec: spec.val };
    });
    if (issues.length > 0) {
        return { tag: "refused", issues: issues.map(issue => ({ ...issue, path: [...issue.path] })) };
    }
    return { tag: "checked", items: validated };
}
