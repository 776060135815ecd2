/** Exports of the bundled program. Importing it only installs the SIGHUP handler. */
import "./signals.js";

export async function run(args: readonly string[]): Promise<void> {
    const { runDaemon } = await import("./daemons.js");
    await runDaemon(args);
}

/** Loads all modules of the platform roles, so that a code cache created afterwards includes them. */
export async function loadAll(): Promise<void> {
    await Promise.all([
        import("./daemons.js"),
        import("./platformentries.js"),
        import("./platformcontrols.js"),
        import("./platformrelays.js"),
    ]);
}
