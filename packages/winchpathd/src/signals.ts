/**
 * SIGHUP, from the first moment on: left alone it would end a process that is
 * still loading. Imported before everything else; what comes while the runtime itself
 * starts, in its first tens of milliseconds, can't be caught.
 */

let missed = false;
let handler: (() => void) | undefined;

process.on("SIGHUP", () => {
    if (handler === undefined) {
        missed = true;
        return;
    }
    handler();
});

/** Calls `reload` at each SIGHUP from now on, and once where one came before. */
export function onHangUp(reload: () => void): void {
    handler = reload;
    if (missed) {
        missed = false;
        reload();
    }
}
