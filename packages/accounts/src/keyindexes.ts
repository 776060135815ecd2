/** Maps API keys to client accounts. */
import { type ClientAccount } from "@winchpath/declarations";

export class KeyIndex {
    private readonly accountsByDigest = new Map<string, ClientAccount>();

    public constructor(accounts: readonly ClientAccount[]) {
        for (const account of accounts) {
            account.keyDigests.forEach(digest => this.accountsByDigest.set(digest, account));
        }
    }

    /** The account that has a key with this digest. */
    public accountOf(digest: string): ClientAccount | undefined {
        return this.accountsByDigest.get(digest);
    }
}
