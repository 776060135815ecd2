/** What a folder of declarations would change. */
import { type ChangeItem, type Manifest, type Resource } from "@winchpath/declarations";
import { isDeepStrictEqual } from "node:util";

/** Items that bring the declarations to what the manifests say. With `prune` others are deleted. */
export function differencesOf(
    manifests: readonly Manifest[],
    current: readonly Resource[],
    prune: boolean,
): ChangeItem[] {
    const byKey = new Map(current.map(resource => [keyOf(resource), resource]));
    const puts = manifests.flatMap((manifest): ChangeItem[] => {
        const known = byKey.get(keyOf(manifest));
        if (known !== undefined && isDeepStrictEqual(known.spec, manifest.spec)) {
            return [];
        }
        const { kind, name, spec } = manifest;
        return [{ op: "put", kind, name, baseVersion: known?.version ?? 0, spec }];
    });
    const wanted = new Set(manifests.map(keyOf));
    const surplus = prune ? current.filter(resource => !wanted.has(keyOf(resource)) && resource.kind !== "Drain") : [];
    const deletes = surplus.map(({ kind, name, version }): ChangeItem => ({
        op: "delete",
        kind,
        name,
        baseVersion: version,
    }));
    return [...puts, ...deletes];
}

/** One line for each item: `+` new, `~` changed, `-` deleted. */
export function formatDifferences(items: readonly ChangeItem[]): string {
    return items.map(item => {
        const sign = item.op === "delete" ? "-" : item.baseVersion === 0 ? "+" : "~";
        return `${sign} ${item.kind} ${item.name}`;
    }).join("\n");
}

function keyOf(resource: { kind: string; name: string; }): string {
    return `${resource.kind}/${resource.name}`;
}
