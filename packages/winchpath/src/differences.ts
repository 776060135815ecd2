/** Differences between manifests and the current declarations. */
import { type ChangeItem, type Manifest, type Resource } from "@winchpath/declarations";
import { isDeepStrictEqual } from "node:util";

/**
 * Changes that make the declarations match the manifests. With `prune`, declarations without a
 * manifest are deleted, except drains.
 */
export function diffManifests(
    manifests: readonly Manifest[],
    current: readonly Resource[],
    prune: boolean,
): ChangeItem[] {
    const byKey = new Map(current.map(resource => [resourceKey(resource), resource]));
    const puts = manifests.flatMap((manifest): ChangeItem[] => {
        const existing = byKey.get(resourceKey(manifest));
        if (existing !== undefined && isDeepStrictEqual(existing.spec, manifest.spec)) {
            return [];
        }
        const { kind, name, spec } = manifest;
        return [{ op: "put", kind, name, baseVersion: existing?.version ?? 0, spec }];
    });
    const declared = new Set(manifests.map(resourceKey));
    const undeclared = prune
        ? current.filter(resource => !declared.has(resourceKey(resource)) && resource.kind !== "Drain")
        : [];
    const deletes = undeclared.map(({ kind, name, version }): ChangeItem => ({
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

function resourceKey(resource: { kind: string; name: string; }): string {
    return `${resource.kind}/${resource.name}`;
}
