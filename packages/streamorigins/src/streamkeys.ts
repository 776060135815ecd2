/** Keys of records: a stream is found only by a request that agrees with its first one in all fields of its identity. */
import { createHash } from "node:crypto";
import { type StreamIdentity } from "./origins.js";

export const keyBytes = 16;

/** Returns a text that differs between any two identities. */
export function identityText(stream: StreamIdentity): string {
    return JSON.stringify([stream.id, stream.service, stream.host, stream.url, stream.account]);
}

/** Returns the key of an identity's text. */
export function streamKey(text: string): Uint8Array {
    return createHash("sha256").update(text).digest().subarray(0, keyBytes);
}

/** Returns a key as a string with one character a byte, for use in maps. */
export function keyText(key: Uint8Array): string {
    return Buffer.from(key.buffer, key.byteOffset, key.byteLength).toString("latin1");
}

/** Joins keys into one array of bytes. */
export function joinKeys(keys: readonly Uint8Array[]): Uint8Array<ArrayBuffer> {
    const joined = new Uint8Array(keys.length * keyBytes);
    keys.forEach((key, index) => joined.set(key, index * keyBytes));
    return joined;
}

/** Splits what `joinKeys` joined; bytes that don't fill a key are left out. */
export function splitKeys(joined: Uint8Array): Uint8Array[] {
    const count = Math.floor(joined.length / keyBytes);
    return Array.from({ length: count }, (_, index) => joined.subarray(index * keyBytes, (index + 1) * keyBytes));
}
