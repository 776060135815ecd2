/** Checks a change, and has the control group accept it. */
import { encodeCommand, type Replica } from "@winchpath/consensus";
import { type Issue } from "@winchpath/core";
import { type Change, type ChangeItem, type ChangeResult, checkSpec, Declarations } from "@winchpath/declarations";

const proposeTimeoutMs = 10_000;

/** Commits a change; the specs are checked first, so that no bad one gets into the log. */
export async function commitChange(replica: Replica, change: Change): Promise<ChangeResult> {
    const checked = checkItems(change.items);
    if (checked.tag === "refused") {
        return checked;
    }
    const command = encodeCommand("declarations", { ...change, items: checked.items });
    const { result } = await replica.propose(command, proposeTimeoutMs);
    return JSON.parse(Buffer.from(result).toString()) as ChangeResult;
}

/** What a change would give, without making it. */
export function tryChange(declarations: Declarations, change: Change): ChangeResult {
    const checked = checkItems(change.items);
    if (checked.tag === "refused") {
        return checked;
    }
    const copy = new Declarations();
    copy.restore(declarations.snapshot());
    return copy.apply({ ...change, items: checked.items }, { index: declarations.revision + 1 });
}

type Checked =
    | { readonly tag: "checked"; readonly items: ChangeItem[]; }
    | Extract<ChangeResult, { tag: "refused"; }>;

function checkItems(items: readonly ChangeItem[]): Checked {
    const issues: Issue[] = [];
    const checked = items.map((item, index): ChangeItem => {
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
    return { tag: "checked", items: checked };
}
