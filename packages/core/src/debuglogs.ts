/** Debug logs with structured fields, enabled by namespace (`DEBUG=winchpath:*`). */
import debug from "debug";

/** Fields of a log line. Must not contain secrets. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

export type Logger = (message: string, fields?: LogFields) => void;

/** Creates the logger of a component, with the namespace `winchpath:COMPONENT`. */
export function logger(component: string): Logger {
    const write = debug(`winchpath:${component}`);
    return (message, fields = {}) => {
        if (!write.enabled) {
            return;
        }
        const pairs = Object.entries(fields).filter(([, value]) => value !== undefined);
        write(message + pairs.map(([name, value]) => ` ${name}=${JSON.stringify(value)}`).join(""));
    };
}
