/** The watch stream of declarations. */
import { type Declarations } from "@winchpath/declarations";
import { type WatchLine } from "./schemas.js";

/** An empty line is sent after this time without changes, so that clients can detect a dead connection. */
const keepAliveMs = 5000;

/** Yields changes after `revision`, preceded by a snapshot if the change history doesn't reach back that far. */
export async function* watchLines(
    declarations: Declarations,
    revision: number | undefined,
    signal: AbortSignal,
): AsyncGenerator<string> {
    let sentRevision = revision;
    while (!signal.aborted) {
        // Read the revision and its events together; changes made while lines are written follow in the next pass.
        const { revision: currentRevision } = declarations;
        const events = sentRevision === undefined ? undefined : declarations.eventsSince(sentRevision);
        if (events === undefined) {
            yield encodeLine({ type: "snapshot", revision: declarations.revision, items: declarations.list() });
        }
        for (const { op, kind, name, revision: changedAt } of events ?? []) {
            const resource = declarations.get(kind, name);
            // A put without a resource was followed by a delete, which has its own event.
            if (op === "delete") {
                yield encodeLine({ type: "delete", revision: changedAt, kind, name });
            }
            else if (resource !== undefined) {
                yield encodeLine({ type: "put", revision: changedAt, resource });
            }
        }
        sentRevision = currentRevision;
        if (declarations.revision === currentRevision) {
            await declarations.changed.wait(keepAliveMs);
        }
        if (declarations.revision === currentRevision) {
            yield "\n";
        }
    }
}

function encodeLine(line: WatchLine): string {
    return `${JSON.stringify(line)}\n`;
}
