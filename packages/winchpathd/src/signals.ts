/**
 * Handles SIGHUP from the start, since its default action would terminate a process that is
 * still loading. Import this module first. A signal that arrives before the Node.js runtime
 * has started can't be caught.
 */

let isSignalPending = false;
let handler: (() => void) | undefined;

process.on("SIGHUP", () => {
    if (handler === undefined) {
        isSignalPending = true;
        return;
    }
    handler();
});

/** Calls `reload` on each SIGHUP, and immediately if one has already arrived. */
export function onHangUp(reload: () => void): void {
    handler = reload;
    if (isSignalPending) {
        isSignalPending = false;
        reload();
    }
}
