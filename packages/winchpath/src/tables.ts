/** Text tables for command output. */
import { formatBytes } from "@winchpath/core";
import { type Resource } from "@winchpath/declarations";
import { type Status } from "@winchpath/operators";
import Table from "cli-table3";

const noBorders = {
    "top": "",
    "top-mid": "",
    "top-left": "",
    "top-right": "",
    "bottom": "",
    "bottom-mid": "",
    "bottom-left": "",
    "bottom-right": "",
    "left": "",
    "left-mid": "",
    "mid": "",
    "mid-mid": "",
    "right": "",
    "right-mid": "",
    "middle": "  ",
};

/** Formats aligned columns with headings and no borders. */
export function formatTable(headings: readonly string[], rows: readonly (readonly (string | number)[])[]): string {
    const style = { "head": [], "border": [], "padding-left": 0, "padding-right": 0 };
    const table = new Table({ head: [...headings], chars: noBorders, style });
    table.push(...rows.map(row => row.map(String)));
    return table.toString().split("\n").map(line => line.trimEnd()).join("\n");
}

export function formatResources(resources: readonly Resource[]): string {
    return formatTable(
        ["KIND", "NAME", "VERSION", "CHANGED BY", "SPEC"],
        resources.map((
            { kind, name, version, operator, spec },
        ) => [kind, name, version, operator, JSON.stringify(spec)]),
    );
}

export function formatStatus(status: Status): string {
    const { revision, leader, behind, members, upstreams, models, services } = status;
    const lines = [
        `revision ${revision}, leader ${leader || "none"}`,
        behind.length === 0 ? "in force everywhere" : `behind: ${behind.join(", ")}`,
        "",
        formatTable(
            ["HOST", "ROLE", "REACHABLE"],
            members.map(({ host, role, reachable }) => [host, role, reachable ? "yes" : "no"]),
        ),
        "",
        formatTable(
            ["UPSTREAM", "SERVES", "DATA CENTRE", "LOAD", "MEMORY"],
            upstreams.map(each => [
                each.name + (each.leaving ? " (leaving)" : ""),
                each.service,
                each.dataCentre,
                `${each.running + each.waiting}/${each.capacity}`,
                each.accelerators.map(({ used, bytes }) => `${formatBytes(used)} of ${formatBytes(bytes)}`).join(", "),
            ]),
        ),
        "",
        formatTable(
            ["MODEL", "VERSION", "CONDITION", "READY", "LOADING", "ADAPTERS", "REASON"],
            models.map(each => [
                each.name,
                each.version,
                each.condition,
                `${each.readyReplicas}/${each.wantedReplicas}`,
                each.loading,
                each.adapters,
                each.reason,
            ]),
        ),
        "",
        formatTable(["SERVICE", "UPSTREAMS"], services.map(({ name, upstreams: count }) => [name, count])),
    ];
    return lines.join("\n");
}
