/** Explains the outcome of one request from the structured logs of all processes. */
import { featuresOf, isPart } from "@winchpath/quarantine";
import { type LoggedEvent } from "./logs.js";

/** A request's events and the state that processes had recorded before its outcome. */
export interface Explanation {
    readonly request: string;
    /** Events of the request, oldest first. */
    readonly history: readonly LoggedEvent[];
    /** Last recorded state of the responding entry and its upstreams, and related orders and crashes. */
    readonly beliefs: readonly LoggedEvent[];
    readonly cause: string;
}

/** How far back to search for orders for the model; covers a load from the weight store. */
const orderLookbackMs = 20_000;
const maxOrders = 8;
/** Events that record the state of an entry. */
const entryStateEvents = ["configuration.in-force", "control.followed", "control.lost", "entry.ready"];

/** Returns undefined if no event mentions the request. */
export function explain(events: readonly LoggedEvent[], request: string): Explanation | undefined {
    const history = events.filter(event => event.values.request === request).sort((a, b) => a.time - b.time);
    const last = history.at(-1);
    if (last === undefined) {
        return undefined;
    }
    const state = [
        ...entryState(events, last),
        ...upstreamState(events, history),
        ...recentOrders(events, last),
        ...relatedCrashes(events, last),
    ];
    return { request, history, beliefs: state, cause: describeCause(history, state) };
}

export function formatExplanation(explanation: Explanation): string {
    const { request, history, beliefs, cause } = explanation;
    return [
        `request ${request}`,
        ...history.map(event => `  ${formatEvent(event, ["request"])}`),
        "state at the time",
        ...beliefs.map(event => `  ${formatEvent(event, [])}`),
        `cause: ${cause}`,
        "",
    ].join("\n");
}

function entryState(events: readonly LoggedEvent[], at: LoggedEvent): LoggedEvent[] {
    return entryStateEvents.flatMap(name =>
        lastBefore(events, at, event => event.event === name && event.host === at.host) ?? []
    );
}

/** The latest known state of each upstream that the request was sent to, as of each attempt. */
function upstreamState(events: readonly LoggedEvent[], history: readonly LoggedEvent[]): LoggedEvent[] {
    const attempts = history.filter(event => event.event === "request.attempt");
    return attempts.flatMap(attempt =>
        ["upstream.known", "upstream.ejected"].flatMap(name =>
            lastBefore(events, attempt, event =>
                event.event === name && event.host === attempt.host
                && event.values.upstream === attempt.values.upstream) ?? []
        )
    );
}

/** Recent orders of the leader for the requested model. */
function recentOrders(events: readonly LoggedEvent[], at: LoggedEvent): LoggedEvent[] {
    const { model } = at.values;
    if (model === undefined) {
        return [];
    }
    return events
        .filter(event => event.event === "order.planned" || event.event === "order.sent")
        .filter(event => String(event.values.order).split(" ").at(-1)!.split("/")[0] === model)
        .filter(event => event.time <= at.time && event.time > at.time - orderLookbackMs)
        .sort((a, b) => a.time - b.time)
        .slice(-maxOrders);
}

/** Crashes and quarantine events for the features of the request by which it was refused. */
function relatedCrashes(events: readonly LoggedEvent[], at: LoggedEvent): LoggedEvent[] {
    const { fingerprint } = at.values;
    if (fingerprint === undefined) {
        return [];
    }
    const features = featuresOf(String(fingerprint));
    return events
        .filter(({ event, values }) =>
            (event === "upstream.ended" && isAmongSuspects(values, features))
            || (event === "request.barred" && values.fingerprint === fingerprint)
        )
        .filter(event => event.time <= at.time)
        .sort((a, b) => a.time - b.time);
}

/** Whether a crash has suspects with one of the features. */
function isAmongSuspects(
    { suspects, suspectParts = [] }: LoggedEvent["values"],
    features: readonly string[],
): boolean {
    const parts = (suspectParts as readonly unknown[]).map(text => String(text).split(" ")[0]);
    return features.some(feature => (suspects as readonly unknown[]).includes(feature) || parts.includes(feature));
}

function lastBefore(
    events: readonly LoggedEvent[],
    at: LoggedEvent,
    matches: (event: LoggedEvent) => boolean,
): LoggedEvent | undefined {
    return events.filter(event => event.time <= at.time && matches(event)).sort((a, b) => a.time - b.time).at(-1);
}

/** The requests that a refused request counts as equal to. */
function describeSuspect({ fingerprint }: LoggedEvent["values"]): string {
    const features = featuresOf(String(fingerprint));
    return features.every(isPart) ? "a request with the same part in its prompt" : "an identical request";
}

function describeCause(history: readonly LoggedEvent[], state: readonly LoggedEvent[]): string {
    const last = history.at(-1)!;
    const { values } = last;
    const attempt = history.findLast(event => event.event === "request.attempt");
    const attemptText = attempt === undefined
        ? "it was not sent to any upstream"
        : `the attempt at upstream ${String(attempt.values.upstream)} ended after ${String(attempt.values.tookMs)} ms: `
            + `${String(attempt.values.outcome)}${
                attempt.values.reason === undefined ? "" : ` (${String(attempt.values.reason)})`
            }`;
    switch (values.reason ?? last.event) {
        case "lacking":
            return `no upstream had ${formatModel(values)} loaded; ${formatLastOrder(state)}`;
        case "overloaded":
            return `every upstream with ${formatModel(values)} loaded was at capacity, with ${
                String(values.waiting)
            } requests waiting`;
        case "unconfigured":
            return "the entry had not received a configuration yet because it had no leader of the control group";
        case "unrouted":
            return `configuration ${String(values.configuration)}, confirmed ${
                String(values.confirmedAgeMs)
            } ms before, has no route for ${String(values.host)} ${String(values.path)}`;
        case "configuration-unconfirmed":
            return `configuration ${
                String(values.configuration)
            } has no such route or API key, and no control host confirmed that it is the latest one; the last confirmation was ${
                String(values.confirmedAgeMs)
            } ms old`;
        case "request.caller-gone":
            return `the caller left (${String(values.stage)}); ${attemptText}`;
        case "unknown-key":
            return `the request sent no API key, or one that no account in configuration ${
                String(values.configuration)
            } has; the entry's key data was ${String(values.keysAgeMs)} ms old`;
        case "keys-unconfirmed":
            return `no leader had confirmed the API keys for ${
                String(values.keysAgeMs)
            } ms, so the entry could not tell whether the request's key was still valid`;
        case "over-limit":
            return `account ${String(values.account)} exceeded its limit of ${String(values.perSecond)} ${
                String(values.unit)
            } per second: the request needs ${String(values.units)}, and ${
                String(values.credit)
            } were left at the entry`;
        case "over-share":
            return `account ${String(values.account)} had used its share of service ${
                String(values.service)
            } while other accounts lacked capacity`;
        case "ends-upstreams":
            return `upstreams crashed each time they ran ${describeSuspect(values)} (${
                String(values.occasions)
            } times): ${formatCrashedUpstreams(state)}; all entries refuse it`;
        case "suspected":
            return `upstreams have crashed while they ran ${
                describeSuspect(values)
            }, which therefore runs one at a time; ${describeHold(values.holdEnd)}; crashed: ${
                formatCrashedUpstreams(state)
            }`;
        case "no-upstream":
            return "the service had no upstream that accepts requests";
        case "stopping":
            return "the entry was shutting down";
        case "late":
        case "failed":
        case "declined":
        case "request.cut":
            return attemptText;
        default:
            return last.event === "request.attempt" ? attemptText : String(values.reason ?? last.event);
    }
}

function describeHold(holdEnd: unknown): string {
    switch (holdEnd) {
        case "no-leader":
            return "no leader answered whether this copy may run";
        case "trial-expired":
            return "the permission to run it expired before an upstream was free";
        default:
            return "another copy was running, or its crash was undecided, until this one had no time left";
    }
}

function formatModel(values: Readonly<Record<string, unknown>>): string {
    return `${String(values.model)}${values.adapter === undefined ? "" : `/${String(values.adapter)}`}`;
}

function formatCrashedUpstreams(state: readonly LoggedEvent[]): string {
    const ended = state.filter(({ event }) => event === "upstream.ended");
    return ended.length === 0
        ? "listed in the leader's logs"
        : ended.map(({ values }) => values.upstream).join(", ");
}

function formatLastOrder(state: readonly LoggedEvent[]): string {
    const last = state.findLast(event => event.event.startsWith("order."));
    return last === undefined
        ? "the leader had no recent order for it"
        : `the leader's last order was "${String(last.values.order)}" at ${String(last.values.upstream)}`
            + `${last.values.reply === undefined ? "" : `: ${String(last.values.reply)}`}`;
}

function formatEvent(event: LoggedEvent, omittedFields: readonly string[]): string {
    const values = Object.entries(event.values)
        .filter(([name]) => !omittedFields.includes(name))
        .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
    return `${new Date(event.time).toISOString()} ${event.process}/${event.host} ${event.event} ${values.join(" ")}`;
}
