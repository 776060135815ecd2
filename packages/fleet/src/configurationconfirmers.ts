/** Asks the control group whether the entry's configuration is the latest one, for decisions that depend on it. */
import {
    type EventFields,
    type EventLog,
    eventLoop,
    messageOf,
    type Metrics,
    Notifier,
    sleep,
    steadyNow,
} from "@winchpath/core";
import { type RpcClients } from "@winchpath/rpc";
import { type Answer, callTimeoutMs, ConfirmationRound, type RoundResult } from "./confirmationrounds.js";
import { DocumentFetcher, fetchTimeoutMs } from "./documentfetches.js";
import { type FleetView } from "./fleetviews.js";
import { type ConfirmResponse, FleetService } from "./gen/winchpath/fleet/v1/fleet_pb.js";

/** Requests that come in within this time share one question, in milliseconds. */
const batchMs = 5;
/** Pause after a round without a confirmation, in milliseconds. */
const retryMs = 50;
/** Consecutive rounds without a response of at least half of the control hosts after which the entry is cut off. */
const unreachableRounds = 2;
/**
 * Consecutive rounds without a confirmation after which the control group counts as unable to decide, although its hosts
 * respond; several elections. Counted in rounds, as time also passes for a process that doesn't run.
 */
const undecidedRounds = 6;
/** Age up to which the last round shows that the entry is cut off, in milliseconds; longer than a round and its pauses. */
const evidenceMs = 1500;
/** Interval at which it is checked whether there is a configuration to confirm, in milliseconds. */
const firstConfigurationPollMs = 100;
/** Bound on the members and on the seeds that are asked. */
const maxAskedHosts = 9;

export interface ConfirmerOptions {
    readonly entry: string;
    /** URL of the leader; empty if unknown. */
    readonly leaderUrl: () => string;
    /** URLs of the members of the control group; of its seeds as long as no leader has told. */
    readonly controlUrls: () => readonly string[];
    /** URLs of further hosts to ask. */
    readonly seedUrls: () => readonly string[];
    /** Called with the members of the control group as an answering host knows them. */
    readonly onMembers?: (controlUrls: readonly string[]) => void;
    /** Age of the last confirmation from which on the control group is asked without a request, in milliseconds. */
    readonly askAfterMs: number;
}

/** Rounds since the entry last had an answer of a control host that can reach a majority. */
interface Doubt {
    readonly rounds: number;
    /** How many of the last rounds have shown most members to be silent. */
    readonly unreachable: number;
    /** Monotonic time at which the last round ended. */
    readonly at: number;
}

interface CallOptions {
    readonly versionOnly: boolean;
    readonly timeoutMs: number;
}

type FailedRound = Exclude<RoundResult, { readonly kind: "answered" | "delayed"; }>;

/** Number of unreachable rounds after a further one; a late one shows nothing new, and refused connections show enough. */
function nextCount(unreachable: number, result: FailedRound): number {
    switch (result.kind) {
        case "unreachable":
            return result.areDown ? unreachableRounds : unreachable + 1;
        case "late":
            return unreachable;
        case "undecided":
            return 0;
    }
}

export class ConfigurationConfirmer<C> {
    /** Notified after each round. */
    private readonly asked = new Notifier();
    private asking = false;
    private doubt: Doubt | undefined;
    private wasCutOff = false;
    private readonly fetcher: DocumentFetcher;

    public constructor(
        private readonly view: FleetView<C>,
        private readonly clients: Pick<RpcClients, "client" | "retireSilent">,
        private readonly options: ConfirmerOptions,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {
        this.fetcher = new DocumentFetcher(
            {
                fetch: url => this.call(url, { versionOnly: false, timeoutMs: fetchTimeoutMs }),
                apply: (response, sentAt) => this.applyDocument(response, sentAt),
            },
            log,
            metrics,
        );
    }

    /**
     * Asks until aborted whenever the last confirmation is old, so that it is known whether the control group can be reached
     * before a request depends on it.
     */
    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const dueMs = this.options.askAfterMs - this.view.confirmedAgeMs;
            if (this.view.configuration === undefined) {
                await sleep(firstConfigurationPollMs, signal);
            }
            else if (dueMs > 0) {
                this.logReach();
                await sleep(dueMs, signal);
            }
            else {
                this.startAsking();
                await this.asked.wait(this.options.askAfterMs);
            }
        }
    }

    /**
     * Whether the last rounds have shown that no confirmation can be had: most control hosts don't respond, or none could
     * confirm anything for long. Never while a host answers that can reach a majority, nor while what it has told of is being
     * fetched, whose bytes delay other answers on a slow link.
     */
    public get isCutOff(): boolean {
        const { doubt } = this;
        return doubt !== undefined && !this.fetcher.isFetching && this.view.confirmedAt < doubt.at
            && steadyNow() - doubt.at < evidenceMs
            && (doubt.unreachable >= unreachableRounds || doubt.rounds >= undecidedRounds);
    }

    /**
     * Resolves to whether every configuration acknowledged before the call is known here, after `timeoutMs` at most; to false
     * as soon as the entry is known to be cut off.
     */
    public async confirm(timeoutMs: number): Promise<boolean> {
        const calledAt = steadyNow();
        const deadline = calledAt + timeoutMs;
        while (this.view.confirmedAt < calledAt) {
            this.startAsking();
            if (this.isCutOff || eventLoop.readUntil >= deadline) {
                return false;
            }
            await this.asked.wait(deadline - eventLoop.readUntil);
        }
        return true;
    }

    private startAsking(): void {
        if (!this.asking) {
            this.asking = true;
            void this.ask();
        }
    }

    private async ask(): Promise<void> {
        await sleep(batchMs);
        const startedAt = steadyNow();
        const result = await new ConfirmationRound({
            leaderUrl: this.options.leaderUrl(),
            controlUrls: this.options.controlUrls().slice(0, maxAskedHosts),
            seedUrls: this.options.seedUrls().slice(0, maxAskedHosts),
            call: url => this.call(url, { versionOnly: true, timeoutMs: callTimeoutMs }),
            onSilent: (url, sentAt) => this.clients.retireSilent(url, sentAt),
            onLate: answer => this.recordLate(answer),
            // An older version comes from a host that is still restoring its state.
            isUsable: ({ documentVersion }) => Number(documentVersion) >= this.view.version,
        }).run();
        const isConfirmed = this.record(result, startedAt);
        const outcome = result.kind === "answered" && !isConfirmed ? "newer" : result.kind;
        this.metrics.count("configuration_confirmations_total", { outcome });
        this.asked.notify();
        if (!isConfirmed) {
            await sleep(retryMs);
        }
        this.asking = false;
        this.asked.notify();
    }

    /** Returns whether the held configuration is confirmed to be the latest one. */
    private record(result: RoundResult, startedAt: number): boolean {
        if (result.kind === "answered") {
            this.applyAnswer(result.answer);
        }
        // The feed may have confirmed meanwhile. A confirmed document that can't be read here changes nothing.
        const isConfirmed = this.view.confirmedAt >= startedAt;
        if (isConfirmed || result.kind === "answered" || result.kind === "delayed") {
            this.doubt = undefined;
            this.logReach();
        }
        else {
            this.recordFailed(result);
        }
        return isConfirmed;
    }

    private recordFailed(result: FailedRound): void {
        const isFurther = this.doubt !== undefined && this.view.confirmedAt < this.doubt.at;
        const { rounds, unreachable } = isFurther ? this.doubt! : { rounds: 0, unreachable: 0 };
        this.doubt = { rounds: rounds + 1, unreachable: nextCount(unreachable, result), at: steadyNow() };
        this.logReach({ reason: result.kind, silent: result.silent, members: this.options.controlUrls().length });
    }

    /** An answer that comes after its round is true as of the time at which it was asked for, and its host can be reached. */
    private recordLate(answer: Answer): void {
        this.applyAnswer(answer);
        this.metrics.count("configuration_confirmations_total", { outcome: "after-round" });
        this.endDoubt();
    }

    private applyAnswer({ url, response, sentAt }: Answer): void {
        this.options.onMembers?.(response.controlUrls);
        this.view.applyConfirmation(response, sentAt);
        if (Number(response.documentVersion) > this.view.version) {
            this.fetcher.fetchFrom(url);
        }
    }

    private applyDocument(response: ConfirmResponse, sentAt: number): void {
        this.view.applyConfirmation(response, sentAt);
        this.endDoubt();
    }

    private endDoubt(): void {
        this.doubt = undefined;
        this.logReach();
        this.asked.notify();
    }

    private logReach(failure: EventFields = {}): void {
        const { isCutOff } = this;
        if (isCutOff !== this.wasCutOff) {
            this.wasCutOff = isCutOff;
            const confirmedAgeMs = Math.round(this.view.confirmedAgeMs);
            const event = isCutOff ? "configuration.cut-off" : "configuration.reachable";
            this.log.warn(event, { ...failure, rounds: this.doubt?.rounds, confirmedAgeMs });
        }
    }

    private async call(url: string, { versionOnly, timeoutMs }: CallOptions): Promise<ConfirmResponse> {
        const req = { entry: this.options.entry, documentVersion: BigInt(this.view.version), versionOnly };
        const sentAt = steadyNow();
        try {
            return await this.clients.client(FleetService, url).confirm(req, { timeoutMs });
        }
        catch (err) {
            const tookMs = Math.round(steadyNow() - sentAt);
            this.log.warn("configuration.not-confirmed", { host: url, tookMs, error: messageOf(err) });
            throw err;
        }
    }
}
