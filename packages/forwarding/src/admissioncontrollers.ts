/** Authenticates requests and enforces account limits before a request waits for an upstream. */
import {
    type AccountGrant,
    type AccountLimiter,
    type Authenticator,
    type Charge,
    type Denial,
    noCharge,
} from "@winchpath/accounts";
import { type Route } from "@winchpath/declarations";
import { type RequestMetadata } from "./headercodecs.js";
import { LocalResponse } from "./localresponses.js";

/** Retry-After, in milliseconds, of an entry that cannot verify API keys; another entry may be able to. */
const unconfirmedRetryMs = 50;

/** A response that the entry sends instead of forwarding the request. */
export interface Refusal {
    readonly kind: "refused";
    readonly response: LocalResponse;
    /** Undefined if a retry would not help. */
    readonly retryAfterMs: number | undefined;
    /** Additional fields for the log. */
    readonly details?: Readonly<Record<string, unknown>>;
}

export interface Identified {
    readonly kind: "identified";
    /** Undefined if the route is public and the request has no key. */
    readonly grant: AccountGrant | undefined;
}

export interface Charged {
    readonly kind: "charged";
    readonly charge: Charge;
}

export class AdmissionController {
    public constructor(private readonly authenticator: Authenticator, private readonly limiter: AccountLimiter) {}

    /** Authenticates a request by its API key. */
    public identify(route: Route, metadata: RequestMetadata): Identified | Refusal {
        const identity = this.authenticator.identify(route.isPublic ?? false, metadata.apiKey);
        return identity.kind === "granted"
            ? { kind: "identified", grant: identity.grant }
            : this.refusalFor(identity.why, undefined);
    }

    /** Charges the request to its account's limit. */
    public async charge(grant: AccountGrant | undefined, metadata: RequestMetadata): Promise<Charged | Refusal> {
        if (grant === undefined) {
            return { kind: "charged", charge: noCharge };
        }
        const admission = await this.limiter.admit(grant.account, metadata.limitTokens);
        if (admission.kind === "admitted") {
            return { kind: "charged", charge: admission.charge };
        }
        const { retryAfterMs, units, credit, limit } = admission;
        const details = { account: grant.account, units, credit, unit: limit.unit, perSecond: limit.perSecond };
        return { kind: "refused", response: LocalResponse.overLimit, retryAfterMs, details };
    }

    /** Checks again, before a request is sent, that its API key is still valid. */
    public denial(grant: AccountGrant | undefined): Refusal | undefined {
        const why = this.authenticator.denial(grant);
        return why === undefined ? undefined : this.refusalFor(why, grant);
    }

    private refusalFor(why: Denial, grant: AccountGrant | undefined): Refusal {
        const unconfirmed = why === "unconfirmed";
        return {
            kind: "refused",
            response: unconfirmed ? LocalResponse.unconfirmed : LocalResponse.unknownKey,
            retryAfterMs: unconfirmed ? unconfirmedRetryMs : undefined,
            details: { account: grant?.account, keysAgeMs: Math.round(this.authenticator.ageMs) },
        };
    }
}
