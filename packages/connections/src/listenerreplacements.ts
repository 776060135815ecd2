/** Puts code before the listeners of a server's events. */
import { type Server } from "node:net";

/** Replaces the listeners of an event by one that may call them. */
export function replaceListeners<T extends (...args: never[]) => void>(
    server: Server,
    event: string,
    replacement: (original: T) => T,
): void {
    const listeners = server.listeners(event) as T[];
    server.removeAllListeners(event);
    const callAll = (...args: Parameters<T>) =>
        listeners.forEach(listener => void Reflect.apply(listener, server, args));
    server.on(event, replacement(callAll as T) as unknown as (...args: unknown[]) => void);
}
