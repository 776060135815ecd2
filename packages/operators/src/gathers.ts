/** Gathers the events of all processes. */
import { type Member } from "@winchpath/consensus";
import { type RpcClients } from "@winchpath/rpc";
import { type Event, type EventFilter, mergeEvents, TimelineService } from "@winchpath/timeline";
import { type Registrar } from "@winchpath/upstream";

const gatherTimeoutMs = 1500;

/** Merged events, and the processes that did not answer. */
export interface GatheredEvents {
    readonly events: Event[];
    readonly missing: string[];
}

export async function gatherEvents(
    clients: RpcClients,
    members: readonly Member[],
    registrar: Registrar,
    filter: EventFilter,
): Promise<GatheredEvents> {
    const urls = new Set([...members.map(member => member.url), ...registrar.live().map(({ report }) => report.url)]);
    const missing: string[] = [];
    const lists = await Promise.all([...urls].map(async url => {
        try {
            const client = clients.client(TimelineService, url);
            return (await client.listEvents(filter, { timeoutMs: gatherTimeoutMs })).events;
        }
        catch {
            missing.push(url);
            return [];
        }
    }));
    return { events: mergeEvents(lists), missing };
}
