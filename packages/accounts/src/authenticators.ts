/**
 * Authenticates requests by the API keys in the configuration. A revoked key must be refused within a bound, even at an
 * entry that is disconnected. Therefore an entry uses its configuration only for a limited time after the moment up to
 * which a leader with a quorum has confirmed it.
 */
import { steadyNow } from "@winchpath/core";
import { type ClientAccount, type Configuration, keyDigest } from "@winchpath/declarations";
import { KeyIndex } from "./keyindexes.js";

/** Maximum relative drift between the clocks of two hosts. */
const maxClockDrift = 0.01;
/** Time from the last check of a key until the upstream starts on the request, in milliseconds. */
const dispatchMarginMs = 150;
/** Without an update for this long (two polls), an unknown key may have been added recently. */
const newKeyUncertaintyMs = 2000;

/** Configuration known to an entry, and when it was confirmed. */
export interface ConfirmedConfiguration {
    readonly configuration: Configuration | undefined;
    /** Monotonic time up to which all acknowledged configurations are known. */
    readonly confirmedAt: number;
}

/** Deadline for refusing a revoked key. */
export interface RevocationOptions {
    /** Whether the deadline also applies to disconnected entries. */
    readonly strict: boolean;
    /** Milliseconds after the configuration without the key was acknowledged. */
    readonly withinMs: number;
}

/** Client account that a request is served for. */
export interface AccountGrant {
    readonly account: string;
    readonly digest: string;
    /** Overrides the priority of the route. */
    readonly priority: number | undefined;
}

/** Why a request is refused: its key is unknown, or the configuration is too old to decide. */
export type Denial = "unknown-key" | "unconfirmed";

export type Identity =
    | { readonly kind: "granted"; readonly grant: AccountGrant | undefined; }
    | { readonly kind: "denied"; readonly why: Denial; };

export class Authenticator {
    private keyIndex: { readonly accounts: readonly ClientAccount[] | undefined; readonly keys: KeyIndex; } = {
        accounts: undefined,
        keys: new KeyIndex([]),
    };

    public constructor(
        private readonly knowledge: ConfirmedConfiguration,
        private readonly options: RevocationOptions,
    ) {}

    /** Whether the configuration is recent enough to use its keys; always true without accounts. */
    public get isConfirmed(): boolean {
        const usableMs = this.options.withinMs * (1 - maxClockDrift) - dispatchMarginMs;
        return !this.options.strict || this.accounts === undefined || this.ageMs < usableMs;
    }

    /** Milliseconds since the time up to which the configuration is confirmed. */
    public get ageMs(): number {
        return steadyNow() - this.knowledge.confirmedAt;
    }

    /** Identifies the account of a request; public routes also accept requests without a known key. */
    public identify(isPublic: boolean, key: string | undefined): Identity {
        if (this.accounts === undefined) {
            return { kind: "granted", grant: undefined };
        }
        const digest = key === undefined ? "" : keyDigest(key);
        const owner = this.keys.accountOf(digest);
        if (owner === undefined && isPublic) {
            return { kind: "granted", grant: undefined };
        }
        if (!this.isConfirmed) {
            return { kind: "denied", why: "unconfirmed" };
        }
        if (owner === undefined) {
            const mayBeNew = key !== undefined && this.ageMs > newKeyUncertaintyMs;
            return { kind: "denied", why: mayBeNew ? "unconfirmed" : "unknown-key" };
        }
        return { kind: "granted", grant: { account: owner.name, digest, priority: owner.priority } };
    }

    /** Checks an admitted request again before it is sent; returns why it must be refused. */
    public denial(grant: AccountGrant | undefined): Denial | undefined {
        if (grant === undefined || this.accounts === undefined) {
            return undefined;
        }
        if (!this.isConfirmed) {
            return "unconfirmed";
        }
        return this.keys.accountOf(grant.digest)?.name === grant.account ? undefined : "unknown-key";
    }

    private get accounts(): readonly ClientAccount[] | undefined {
        return this.knowledge.configuration?.accounts;
    }

    private get keys(): KeyIndex {
        if (this.accounts !== this.keyIndex.accounts) {
            this.keyIndex = { accounts: this.accounts, keys: new KeyIndex(this.accounts ?? []) };
        }
        return this.keyIndex.keys;
    }
}
