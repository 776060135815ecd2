/** What equal requests have in common, whoever serves them: a keyed digest, so that nothing of a body or key is kept. */
import { createHmac } from "node:crypto";

/** What makes two requests the same, as an upstream would run them. */
export interface RequestIdentity {
    readonly method: string;
    readonly host: string;
    /** Path and query, as the caller wrote them. */
    readonly url: string;
    /** Account of the caller; undefined where none has to be known. */
    readonly account: string | undefined;
    readonly body: Uint8Array;
}

/** Bytes of a digest that are kept: two of 2^64 requests fall together. */
const keptBytes = 16;

/** The key is the fleet's own: nobody outside can prepare two requests that fall together, or tell a body by its digest. */
export function fingerprintOf(key: Uint8Array, { method, host, url, account = "", body }: RequestIdentity): string {
    const hmac = createHmac("sha256", key);
    // Lengths keep apart what would read the same without its borders.
    hmac.update(JSON.stringify([method, host, url, account, body.length]));
    hmac.update(body);
    return hmac.digest().subarray(0, keptBytes).toString("base64url");
}
