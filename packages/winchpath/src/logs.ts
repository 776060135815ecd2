/** Reads the structured logs of processes. */

/** One line of a process's log. */
export interface LoggedEvent {
    /** Time of day in milliseconds since the epoch, by the host's clock. */
    readonly time: number;
    readonly process: string;
    readonly host: string;
    readonly event: string;
    readonly values: Readonly<Record<string, unknown>>;
}

/** Fields of a line that say nothing about what happened. */
const bookkeeping = ["level", "steadyMs"];

/** Reads lines; what stands before the JSON of a line (a time, a host) is passed over, as are other lines. */
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
        const values = Object.fromEntries(Object.entries(rest).filter(([name]) => !bookkeeping.includes(name)));
        const where = String(host ?? line.slice(0, start).trim().split(/\s+/).at(-1) ?? "");
        return { time: Number(time), process: String(process), host: where, event: String(event), values };
    }
    catch {
        // A line that was cut short when its process was killed.
        return undefined;
    }
}
