/** Describes what the control group of a deployment went through, for tests that fail. */
import { messageOf } from "@winchpath/core";
import { type Deployment, type EntryHost } from "./deployments.js";

/** Events about terms, members, processes and failed requests. */
const controlEvents = /^(leader|log|member|process|request\.failed|upstream\.(joined|left))/;
/** Bound on the events that are returned. */
const maxEvents = 300;
const metricsTimeoutMs = 2000;

/** Returns the latest control events of all processes that answer, and each entry's durations of claims. */
export async function describeControlHistory(deployment: Deployment): Promise<string> {
    const [events, ...claims] = await Promise.all([
        readControlEvents(deployment),
        ...deployment.entries.map(entry => readClaims(entry)),
    ]);
    return [...events.slice(-maxEvents), ...claims].join("\n");
}

async function readControlEvents({ client }: Deployment): Promise<string[]> {
    try {
        const { missing, events } = await client.timeline({});
        const control = events.filter(event => controlEvents.test((event as { readonly kind: string; }).kind));
        return [`processes without an answer: ${missing.join(", ")}`, ...control.map(event => JSON.stringify(event))];
    }
    catch (err) {
        return [`no timeline: ${messageOf(err)}`];
    }
}

async function readClaims({ name, operatorsUrl }: EntryHost): Promise<string> {
    try {
        const res = await fetch(`${operatorsUrl}/metrics`, { signal: AbortSignal.timeout(metricsTimeoutMs) });
        const lines = (await res.text()).split("\n").filter(line => line.includes("claim"));
        return `${name}: ${lines.join("; ")}`;
    }
    catch (err) {
        return `${name}: no metrics: ${messageOf(err)}`;
    }
}
