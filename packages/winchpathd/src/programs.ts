/**
 * The program as one script: what the bundle exports. Nothing but signals are
 * handled before {@link run}.
 */
import "./signals.js";

/** Runs the process that the command line asks for. */
export async function run(args: readonly string[]): Promise<void> {
    const { runDaemon } = await import("./daemons.js");
    await runDaemon(args);
}

/** Loads every part of the platform's roles, so that a code cache made afterwards holds them. */
export async function loadAll(): Promise<void> {
    await Promise.all([
        import("./daemons.js"),
        import("./platformentries.js"),
        import("./platformcontrols.js"),
        import("./platformrelays.js"),
    ]);
}
