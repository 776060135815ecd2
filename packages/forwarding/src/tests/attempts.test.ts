/** Guards against attempts of which nothing was sent that count as sent, or as news of the upstream. */
import { silentLog } from "@winchpath/core";
import { DemandMeter } from "@winchpath/fleet";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
    attempt,
    type AttemptOptions,
    type AttemptOutcome,
    AttemptSender,
    type AttemptSenderDependencies,
    type InboundRequest,
    type Reservation,
    type ResponseMetadata,
    type UpstreamEndpoint,
} from "../index.js";
import { testRoute } from "./testservers.js";
import { testRequest } from "./waitinputs.js";

const controller = { abort: () => undefined };

interface Handler {
    onRequestStart(started: typeof controller): void;
}

function endpointThat(dispatch: (handler: Handler) => void): UpstreamEndpoint {
    const pool = { dispatch: (_options: unknown, handler: Handler) => dispatch(handler) };
    return { pool, description: { name: "u" } } as unknown as UpstreamEndpoint;
}

function optionsWith(maySend: () => boolean): AttemptOptions {
    return { codec: { forwardHeaders: () => [] }, isBehind: () => false, maySend } as unknown as AttemptOptions;
}

function abortableRequest() {
    const abortController = new AbortController();
    const request: InboundRequest = { ...testRequest(testRoute({}), 0), abortSignal: abortController.signal };
    return { request, abort: () => abortController.abort() };
}

describe("an attempt of which nothing was sent", () => {
    it("does not count as responded if the upstream no longer accepts requests", async () => {
        const endpoint = endpointThat(handler => handler.onRequestStart(controller));
        const outcome = await attempt(abortableRequest().request, endpoint, optionsWith(() => false));
        expect(outcome).toEqual({
            kind: "not-run",
            reason: "upstream no longer accepts requests",
            misdirected: false,
            unreachable: false,
            responded: false,
        });
    });

    it("does not ask whether it may be sent once its client has left", async () => {
        let asked = 0;
        let started: Handler | undefined;
        const { request, abort } = abortableRequest();
        const endpoint = endpointThat(handler => started = handler);
        const outcome = attempt(request, endpoint, optionsWith(() => ++asked > 0));
        abort();
        started!.onRequestStart(controller);
        expect(await outcome).toEqual({ kind: "caller-gone", sent: false, reason: undefined });
        expect(asked).toEqual(0);
    });
});

describe("an attempt", () => {
    async function send(isReady: boolean, metadata: Partial<ResponseMetadata> | undefined) {
        const events: string[] = [];
        const nothing = () => undefined;
        const sender = new AttemptSender({
            sendAttempt: (_request: unknown, _endpoint: unknown, options: AttemptOptions): Promise<AttemptOutcome> => {
                options.maySend();
                if (metadata !== undefined) {
                    options.onResponseHead(metadata as ResponseMetadata);
                }
                events.push("end");
                return Promise.resolve({ kind: "postponed" });
            },
            meter: new DemandMeter(silentLog),
            ejections: { sent: nothing },
            quarantine: { recordOutcome: nothing, trackOutput: nothing },
            responder: { logEvent: nothing },
            signals: { handle: nothing },
            retryPolicy: { recordSent: nothing },
            throughput: { durationMs: () => 0 },
            endpoints: { isReady: () => isReady },
            view: { ageMs: 0 },
            sharedAdmission: {
                admitted: () => events.push("admitted"),
                loadReported: () => events.push("load"),
            },
            denial: nothing,
            onCapacityFreed: nothing,
        } as unknown as AttemptSenderDependencies);
        const endpoint = { id: "u", load: 0 } as unknown as UpstreamEndpoint;
        const reservation = { tracked: {}, prompt: undefined, release: nothing } as unknown as Reservation;
        const assignment = { kind: "upstream", endpoint, permitDecision: "permitted", reservation } as const;
        await sender.send(abortableRequest().request, assignment, undefined as never, 0);
        return events;
    }

    it("counts as admitted only when it is sent", async () => {
        expect(await send(true, undefined)).toEqual(["admitted", "end"]);
        expect(await send(false, undefined)).toEqual(["end"]);
    });

    it("makes the load of the upstream known with the response head, not at its end", async () => {
        const load = { running: 1 } as unknown as ResponseMetadata["load"];
        expect(await send(true, { load })).toEqual(["admitted", "load", "end"]);
        expect(await send(true, { load: undefined })).toEqual(["admitted", "end"]);
    });
});
