/** Schemas that decode durations, sizes and addresses from strings. */
import Type, { type TStringOptions } from "typebox";

const durationUnits: Readonly<Record<string, number>> = { ms: 1, s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000 };
const sizeUnits: Readonly<Record<string, number>> = { B: 1, KiB: 2 ** 10, MiB: 2 ** 20, GiB: 2 ** 30, TiB: 2 ** 40 };

/** "250ms", "5s", "10m", "1h", "1d"; decodes to milliseconds. */
export const Duration = durationWith({});

/** A duration with string schema options, such as a default. */
export function durationWith(options: TStringOptions) {
    return Type.Codec(Type.String({ ...options, pattern: "^\\d+(ms|s|m|h|d)$" }))
        .Decode(text => parseQuantity(text, durationUnits))
        .Encode(ms => `${ms}ms`);
}

/** "24 GiB", "512MiB", "1000 B"; decodes to bytes. */
export const Size = sizeWith({});

/** A size with string schema options, such as a default. */
export function sizeWith(options: TStringOptions) {
    return Type.Codec(Type.String({ ...options, pattern: "^\\d+ ?(B|KiB|MiB|GiB|TiB)$" }))
        .Decode(text => parseQuantity(text, sizeUnits))
        .Encode(bytes => `${bytes} B`);
}

/** An IP address and a port, such as "127.0.0.1:7101" or "[::1]:7101". */
export const Address = Type.Codec(Type.String({ pattern: "^(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-f:]+\\]):\\d{1,5}$" }))
    .Decode(text => {
        const colon = text.lastIndexOf(":");
        const host = text.slice(0, colon).replace(/^\[|\]$/g, "");
        return { host, port: Number(text.slice(colon + 1)) };
    })
    .Encode(address => `${address.host}:${address.port}`);

/** An HTTP or HTTPS base URL without a path, such as "http://127.0.0.1:7101". */
export const HttpUrl = Type.String({ pattern: "^https?://[^/\\s]+$" });

function parseQuantity(text: string, units: Readonly<Record<string, number>>): number {
    const [, amount, unit] = /^(\d+) ?(\w+)$/.exec(text)!;
    return Number(amount) * units[unit];
}

/** Formats bytes in the largest unit that gives a value of at least 1. */
export function formatBytes(bytes: number): string {
    const [unit, factor] = Object.entries(sizeUnits).findLast(([, size]) => bytes >= size) ?? ["B", 1];
    return `${Math.round(bytes / factor * 10) / 10} ${unit}`;
}
