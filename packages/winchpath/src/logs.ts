/** Parses the structured logs of processes. */

export interface LoggedEvent {
    /** Wall-clock time of the host, in milliseconds since the epoch. */
    readonly time: number;
    readonly process: string;
    readonly host: string;
    readonly event: string;
    readonly values: Readonly<Record<string, unknown>>;
}

/** Fields that are not part of an event's values. */
const omittedFields = ["level", "steadyMs"];

/** Parses log lines. Prefixes before the JSON (a time, a host) and lines without JSON are ignored. */
export function parseLog(text: string): LoggedEvent[] {
    return text.split("\n").flatMap(line => parseLine(line) ?? []);
}

function parseLine(line: string): LoggedEvent | undefined {
    const start = line.indexOf("{\"level\"");
    if (start === -1) {
        return undefined;
    }
    try {
        const { time, process, host, event, ...rest } = JSON.parse(line.slice(start)) as Record<string, unknown>;
        const values = Object.fromEntries(Object.entries(rest).filter(([name]) => !omittedFields.includes(name)));
        const hostName = String(host ?? line.slice(0, start).trim().split(/\s+/).at(-1) ?? "");
        return { time: Number(time), process: String(process), host: hostName, event: String(event), values };
    }
    catch {
        // A truncated line, for example of a process that was killed.
        return undefined;
    }
}
