/** Renders a merged timeline as text, JSON or an HTML page. */
import { toJson } from "@bufbuild/protobuf";
import { type Event, EventSchema } from "./gen/winchpath/timeline/v1/timeline_pb.js";

/** Renders events that are already in causal order. */
export interface TimelineRenderer {
    render(events: readonly Event[]): string;
}

/** Renders one line per event. */
export class TextRenderer implements TimelineRenderer {
    public render(events: readonly Event[]): string {
        const width = Math.max(0, ...events.map(event => event.process.length));
        return events.map(event => {
            const time = new Date(Number(event.time)).toISOString().slice(11, 23);
            return `${time} ${event.process.padEnd(width)} ${event.kind.padEnd(22)} ${formatDetails(event)}`.trimEnd();
        }).join("\n");
    }
}

/** Renders the events as a JSON array. */
export class JsonRenderer implements TimelineRenderer {
    public render(events: readonly Event[]): string {
        return JSON.stringify(events.map(event => toJson(EventSchema, event)), undefined, 4);
    }
}

/** Renders a static page with a column per process and a row per event. */
export class HtmlRenderer implements TimelineRenderer {
    public render(events: readonly Event[]): string {
        const processes = [...new Set(events.map(event => event.process))].sort();
        const head = processes.map(name => `<th>${escapeHtml(name)}</th>`).join("");
        const rows = events.map(event => htmlRow(event, processes)).join("\n");
        return `<!doctype html><meta charset="utf-8"><title>winchpath timeline</title><style>${pageStyles}</style>\n`
            + `<table><thead><tr><th>time</th>${head}</tr></thead><tbody>\n${rows}\n</tbody></table>\n`;
    }
}

const pageStyles = "body{font:13px sans-serif;margin:1em}table{border-collapse:collapse}"
    + "th{position:sticky;top:0;background:#fff;text-align:left;border-bottom:2px solid #444;padding:4px 8px}"
    + "td{border-left:1px solid #ddd;padding:2px 8px;vertical-align:top;max-width:22em}"
    + "td.time{border:0;color:#777;white-space:nowrap;font-variant-numeric:tabular-nums}"
    + "b{font-weight:600}td.failure b{color:#b00020}small{color:#555}";

function htmlRow(event: Event, processes: readonly string[]): string {
    const time = new Date(Number(event.time)).toISOString().slice(11, 23);
    const cells = processes.map(name => name === event.process ? htmlCell(event) : "<td></td>").join("");
    return `<tr><td class="time">${time}</td>${cells}</tr>`;
}

function htmlCell(event: Event): string {
    const style = /fail|lost|refused|broken|unknown|expired|doubt/.test(event.kind) ? " class=\"failure\"" : "";
    return `<td${style}><b>${escapeHtml(event.kind)}</b> <small>${escapeHtml(formatDetails(event))}</small></td>`;
}

function formatDetails(event: Event): string {
    const parts = [
        event.resource,
        event.requestId && `request=${event.requestId}`,
        event.revision > 0n && `revision=${event.revision}`,
        event.detail,
    ];
    return parts.filter(part => part !== "" && part !== false).join(" ");
}

function escapeHtml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");
}
