/** Keys of records: a stream is found only by a request that agrees with its first one in all fields of its identity. */
import { createHash } from "node:crypto";
import { type StreamIdentity } from "./origins.js";

export const keyBytes = 16;

/** Returns a text that differs between any two identities. */
export function identityText(stream: StreamIdentity): string {
    return JSON.stringify([stream.id, stream.service, stream.host, stream.url, stream.account ?? null]);
}

/** Returns the key of an identity's text. */
export function streamKey(text: string): Uint8Array {
    return createHash("sha256").update(text).digest().subarray(0, keyBytes);
}

/** Returns a key as a string with one character a byte, for use in maps. */
export function keyText(key: Uint8Array): string {
    return Buffer.from(key.buffer, key.byteOffset, key.byteLength).toString("latin1");
}
