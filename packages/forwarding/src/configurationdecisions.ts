/** Decides by the configuration whether a request may be served: its route, and its API key. */
import { type AccountGrant } from "@winchpath/accounts";
import { type Metrics } from "@winchpath/core";
import { type Configuration, type Route } from "@winchpath/declarations";
import { type FleetView } from "@winchpath/fleet";
import { type AdmissionController, type Refusal } from "./admissioncontrollers.js";
import { type ConfirmationPolicy } from "./confirmationpolicies.js";
import { type RequestMetadata } from "./headercodecs.js";
import { LocalResponse } from "./localresponses.js";
import { type RouteTable } from "./routetables.js";

/** Retry-After while the control group cannot be reached, in milliseconds; covers a leader election in part. */
const unconfirmedRetryMs = 300;

export interface DecisionDependencies {
    readonly view: FleetView<Configuration>;
    readonly admissions: AdmissionController;
    readonly confirmations: ConfirmationPolicy;
    readonly metrics: Metrics;
    /** Routes of the configuration in force. */
    readonly routeTable: () => RouteTable;
}

/** The attributes of a request that the configuration decides on. */
export interface RequestTarget {
    /** Host header as sent by the client. */
    readonly host: string;
    /** Path and query as sent by the client. */
    readonly url: string;
    readonly metadata: RequestMetadata;
}

export interface AllowedRequest {
    readonly kind: "allowed";
    readonly table: RouteTable;
    readonly route: Route;
    readonly grant: AccountGrant | undefined;
    /** Version of the configuration that allows it. */
    readonly version: number;
    /** How long before the decision that version was confirmed to be the latest one, in milliseconds. */
    readonly confirmedAgeMs: number;
}

/** What one version of the configuration says. */
type VersionDecision =
    | AllowedRequest
    | Refusal
    /** It doesn't have the route or the key. A newer one may. */
    | { readonly kind: "denied"; readonly refusal: Refusal; };

export class ConfigurationDecider {
    public constructor(private readonly deps: DecisionDependencies) {}

    /**
     * Decides by the newest configuration: asks the control group for it before a request is denied, and before it is allowed
     * by a configuration that may be outdated. An entry that is cut off goes on with what the held one allows, since its
     * clients may have no other; it denies nothing.
     */
    public async decide(target: RequestTarget): Promise<AllowedRequest | Refusal> {
        const { confirmations, metrics } = this.deps;
        const firstDecision = this.decideByHeldVersion(target);
        // Keys that can't be verified are refused at once, whatever the configuration says.
        if (firstDecision.kind === "refused" || (firstDecision.kind === "allowed" && !confirmations.mayBeOutdated)) {
            return firstDecision;
        }
        const confirmation = await confirmations.confirm(target.metadata.deadlineMs);
        metrics.count("configuration_decisions_total", { confirmation });
        if (confirmation === "unconfirmed") {
            return unconfirmedRefusal;
        }
        // The configuration may have changed during the wait.
        const decision = this.decideByHeldVersion(target);
        if (decision.kind !== "denied") {
            return decision;
        }
        return confirmation === "confirmed" ? this.deny(decision.refusal) : unconfirmedRefusal;
    }

    private decideByHeldVersion({ host, url, metadata }: RequestTarget): VersionDecision {
        const table = this.deps.routeTable();
        const route = table.match(host, url);
        if (route === undefined) {
            return { kind: "denied", refusal: unroutedRefusal };
        }
        const identified = this.deps.admissions.identify(route, metadata);
        if (identified.kind === "identified") {
            const { version, confirmedAgeMs } = this.deps.view;
            return {
                kind: "allowed",
                table,
                route,
                grant: identified.grant,
                version,
                confirmedAgeMs: Math.round(confirmedAgeMs),
            };
        }
        return identified.response === LocalResponse.unknownKey ? { kind: "denied", refusal: identified } : identified;
    }

    private deny(refusal: Refusal): Refusal {
        this.deps.metrics.histogram("refusal_confirmed_age").record(this.deps.view.confirmedAgeMs);
        return refusal;
    }
}

const unroutedRefusal: Refusal = { kind: "refused", response: LocalResponse.unrouted, retryAfterMs: undefined };
const unconfirmedRefusal: Refusal = {
    kind: "refused",
    response: LocalResponse.configurationUnconfirmed,
    retryAfterMs: unconfirmedRetryMs,
};
