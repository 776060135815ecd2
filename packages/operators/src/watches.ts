/** The watch: everything as of a revision, then each change as it comes into force. */
import { type Declarations } from "@winchpath/declarations";
import { type WatchLine } from "./schemas.js";

/** An empty line is sent after this time without a change, so that a dead connection is noticed. */
const keepAliveMs = 5000;

/** Lines from `revision` on; starts with a snapshot where the changes since then are not remembered. */
export async function* watchLines(
    declarations: Declarations,
    revision: number | undefined,
    signal: AbortSignal,
): AsyncGenerator<string> {
    let at = revision;
    while (!signal.aborted) {
        // Read together: what comes while the lines are written is for the next turn.
        const { revision: now } = declarations;
        const events = at === undefined ? undefined : declarations.eventsSince(at);
        if (events === undefined) {
            yield lineOf({ type: "snapshot", revision: declarations.revision, items: declarations.list() });
        }
        for (const { op, kind, name, revision: changedAt } of events ?? []) {
            const resource = declarations.get(kind, name);
            // A later delete has its own event.
            if (op === "delete") {
                yield lineOf({ type: "delete", revision: changedAt, kind, name });
            }
            else if (resource !== undefined) {
                yield lineOf({ type: "put", revision: changedAt, resource });
            }
        }
        at = now;
        if (declarations.revision === now) {
            await declarations.changed.wait(keepAliveMs);
        }
        if (declarations.revision === now) {
            yield "\n";
        }
    }
}

function lineOf(line: WatchLine): string {
    return `${JSON.stringify(line)}\n`;
}
