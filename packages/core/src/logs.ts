/** Logs by namespace (`DEBUG=winchpath:*`), one line each, with structured fields. */
import debug from "debug";

/** Values that may stand in a log line. Secrets are never passed. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one line of a slice's log. */
export type Logger = (message: string, fields?: LogFields) => void;

/** The logger of one slice, `winchpath:SLICE`. */
export function logger(slice: string): Logger {
    const write = debug(`winchpath:${slice}`);
    return (message, fields = {}) => {
        if (!write.enabled) {
            return;
        }
        const pairs = Object.entries(fields).filter(([, value]) => value !== undefined);
        write(message + pairs.map(([name, value]) => ` ${name}=${JSON.stringify(value)}`).join(""));
    };
}
