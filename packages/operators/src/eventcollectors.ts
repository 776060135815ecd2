/** Collects timeline events from all processes. */
import { type Member } from "@winchpath/consensus";
import { type RpcClients } from "@winchpath/rpc";
import { type Event, type EventFilter, mergeEvents, TimelineService } from "@winchpath/timeline";
import { type Registrar } from "@winchpath/upstream";

const listEventsTimeoutMs = 1500;

export interface CollectedEvents {
    readonly events: Event[];
    /** URLs of processes that did not respond. */
    readonly missing: string[];
}

export async function collectEvents(
    clients: RpcClients,
    members: readonly Member[],
    registrar: Registrar,
    filter: EventFilter,
): Promise<CollectedEvents> {
    const urls = new Set([...members.map(member => member.url), ...registrar.live().map(({ report }) => report.url)]);
    const missing: string[] = [];
    const lists = await Promise.all([...urls].map(async url => {
        try {
            const client = clients.client(TimelineService, url);
            return (await client.listEvents(filter, { timeoutMs: listEventsTimeoutMs })).events;
        }
        catch {
            missing.push(url);
            return [];
        }
    }));
    return { events: mergeEvents(lists), missing };
}
