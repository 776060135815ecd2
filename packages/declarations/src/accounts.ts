/** Client accounts of a configuration, with their API keys and rate limits. */
import { FailureCode, type Issue } from "@winchpath/core";
import { createHash } from "node:crypto";
import Type, { type Static } from "typebox";

/** What a limit counts. A request's tokens are those of its prompt plus the maximum number to generate. */
export const LimitUnit = Type.Enum(["requests", "tokens"]);
export type LimitUnit = Static<typeof LimitUnit>;

/** Rate limit of an account, shared by all entries. */
export const AccountLimit = Type.Object({
    unit: LimitUnit,
    /** Units per second. */
    perSecond: Type.Number({ exclusiveMinimum: 0 }),
    /** Units that may be used at once on top of the rate. */
    burst: Type.Number({ minimum: 0 }),
    /** Tokens counted for a request that states no number of tokens. */
    plainTokens: Type.Number({ minimum: 0 }),
});
export type AccountLimit = Static<typeof AccountLimit>;

export const ClientAccount = Type.Object({
    /** Sent to upstreams as a header value, hence printable ASCII without spaces. */
    name: Type.String({ pattern: "^[\\x21-\\x7e]+$", maxLength: 256 }),
    /** Digests of the account's keys, see {@link keyDigest}. */
    keyDigests: Type.Array(Type.String({ minLength: 1 })),
    /** Overrides the route's priority; 0 is the most urgent. */
    priority: Type.Optional(Type.Integer({ minimum: 0 })),
    limit: Type.Optional(AccountLimit),
    /**
     * Share of the account relative to others while capacity is short; 1 is that of an average account. Defaults to its
     * limit relative to the other limits of the same unit.
     */
    weight: Type.Optional(Type.Number({ exclusiveMinimum: 0 })),
});
export type ClientAccount = Static<typeof ClientAccount>;

/** Digest by which a key is looked up, so that the key itself is never stored, logged or displayed. */
export function keyDigest(key: string): string {
    return createHash("sha256").update(key).digest("base64");
}

/** Checks rules that the schema cannot express. No issue contains a key. */
export function checkAccounts(accounts: readonly ClientAccount[]): Issue[] {
    const issues: Issue[] = [];
    const names = new Set<string>();
    const owners = new Map<string, string>();
    accounts.forEach(({ name, keyDigests }, index) => {
        const report = (key: string, message: string) =>
            issues.push({ code: FailureCode.invalid, path: ["accounts", index, key], message });
        if (names.has(name)) {
            report("name", `two accounts are named ${name}`);
        }
        names.add(name);
        for (const digest of new Set(keyDigests)) {
            const holder = owners.get(digest);
            if (holder !== undefined) {
                report("keys", `accounts ${holder} and ${name} share a key`);
            }
            owners.set(digest, name);
        }
    });
    return issues;
}
