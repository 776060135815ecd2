/** Chooses the members of the control group that keep the record of a key, by rendezvous hashing. */
import { identifierHash, prefixRank } from "@winchpath/engineload";

const replicaCount = 2;

/** The members at one moment. */
export class KeyReplicas {
    private readonly members: readonly { readonly url: string; readonly hash: number; }[];

    public constructor(public readonly urls: readonly string[]) {
        this.members = urls.map(url => ({ url, hash: identifierHash(url) }));
    }

    /** URLs of the members that keep the record of a key; all members if they are few. */
    public of(key: Uint8Array): readonly string[] {
        const keyHash = new DataView(key.buffer, key.byteOffset).getUint32(0);
        return this.members
            .map(({ url, hash }) => ({ url, rank: prefixRank(keyHash, hash) }))
            .sort((a, b) => b.rank - a.rank)
            .slice(0, replicaCount)
            .map(({ url }) => url);
    }

    /** Whether these are the members with the given URLs, in whatever order. */
    public equals(urls: readonly string[]): boolean {
        return urls.length === this.urls.length && urls.every(url => this.urls.includes(url));
    }
}
