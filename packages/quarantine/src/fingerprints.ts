/** Fingerprints of requests and parts of prompts: keyed digests, so that no body, part or key has to be stored. */
import { createHmac } from "node:crypto";
import { partFeature, partVariant } from "./features.js";

/** The properties by which requests are considered equal, and the prompt whose parts they may share. */
export interface RequestIdentity {
    readonly method: string;
    readonly host: string;
    /** Path and query as sent by the client. */
    readonly url: string;
    /** Account of the client; undefined if the route requires none. */
    readonly account: string | undefined;
    readonly body: Uint8Array;
    /** Undefined if the request declares no parts. */
    readonly prompt?: PromptIdentity;
}

/** The declared parts of a prompt, and what executes it. */
export interface PromptIdentity {
    readonly service: string;
    readonly model: string;
    /** Empty if the request asks for the model itself. */
    readonly adapter: string;
    /** In prompt order. The last part belongs to the request or its session and is not shared. */
    readonly parts: readonly { readonly id: string; }[];
}

/** Length to which digests are truncated, in bytes: a collision is expected only among 2^64 requests. */
const fingerprintBytes = 16;
/** Further parts of a prompt are ignored, which bounds the cost of a request. */
const maxParts = 32;
/** Bound on the digests that are kept, since parts are shared by many requests. */
const maxCachedDigests = 8192;

/**
 * Computes a fingerprint with the fleet's secret key, so that clients can't construct collisions or recognize a body.
 */
export function fingerprintOf(key: Uint8Array, { method, host, url, account = "", body }: RequestIdentity): string {
    // The JSON array and the body length keep fields separate that would be ambiguous when concatenated.
    return digestOf(key, JSON.stringify([method, host, url, account, body.length]), body);
}

function digestOf(key: Uint8Array, text: string, body?: Uint8Array): string {
    const hmac = createHmac("sha256", key);
    hmac.update(text);
    if (body !== undefined) {
        hmac.update(body);
    }
    return hmac.digest().subarray(0, fingerprintBytes).toString("base64url");
}

/** Fingerprints of shared parts of prompts. */
export class PartFingerprints {
    private readonly digests = new Map<string, string>();

    public constructor(private readonly key: Uint8Array) {}

    /**
     * Returns two features for each part but the last: the part whatever executes it, and the part at its service, model
     * and adapter. A part that crashes the upstreams of one service may be harmless at another.
     */
    public of({ service, model, adapter, parts }: PromptIdentity): string[] {
        const features = new Set<string>();
        for (const { id } of parts.slice(0, -1).slice(0, maxParts)) {
            const part = partFeature(this.digest(JSON.stringify(["part", id])));
            features.add(part);
            features.add(partVariant(part, this.digest(JSON.stringify(["part", id, service, model, adapter]))));
        }
        return [...features];
    }

    private digest(text: string): string {
        let digest = this.digests.get(text);
        if (digest === undefined) {
            digest = digestOf(this.key, text);
            if (this.digests.size >= maxCachedDigests) {
                this.digests.clear();
            }
            this.digests.set(text, digest);
        }
        return digest;
    }
}
