/** Asks the control group whether the entry's configuration is the latest one, for decisions that depend on it. */
import { type EventLog, eventLoop, messageOf, type Metrics, Notifier, sleep, steadyNow } from "@winchpath/core";
import { type RpcClients } from "@winchpath/rpc";
import { callTimeoutMs, ConfirmationRound, type RoundResult } from "./confirmationrounds.js";
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
    /** Age of the last confirmation from which on the control group is asked without a request, in milliseconds. */
    readonly askAfterMs: number;
}

/** Number of unreachable rounds after a further one; a late one shows nothing new, and refused connections show enough. */
function nextCount(unreachable: number, result: RoundResult): number {
    switch (result.kind) {
        case "unreachable":
            return result.areDown ? unreachableRounds : unreachable + 1;
        case "late":
            return unreachable;
        default:
            return 0;
    }
}

export class ConfigurationConfirmer<C> {
    /** Notified after each round. */
    private readonly asked = new Notifier();
    private asking = false;
    /** Rounds since the last confirmation, and how many of the last ones have shown most members to be silent. */
    private failed: { readonly rounds: number; readonly unreachable: number; readonly at: number; } | undefined;
    private wasCutOff = false;

    public constructor(
        private readonly view: FleetView<C>,
        private readonly clients: Pick<RpcClients, "client" | "retireSilent">,
        private readonly options: ConfirmerOptions,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {}

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
                this.logReach([]);
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
     * confirm anything for long.
     */
    public get isCutOff(): boolean {
        return this.failed !== undefined && this.isInDoubt && steadyNow() - this.failed.at < evidenceMs
            && (this.failed.unreachable >= unreachableRounds || this.failed.rounds >= undecidedRounds);
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

    /** Whether no confirmation has come, by the feed either, since the last round. */
    private get isInDoubt(): boolean {
        return this.failed !== undefined && this.view.confirmedAt < this.failed.at;
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
            call: url => this.call(url),
            onSilent: (url, sentAt) => this.clients.retireSilent(url, sentAt),
            onLate: (response, sentAt) => this.recordLate(response, sentAt),
            // An older version comes from a host that is still restoring its state.
            isUsable: ({ documentVersion }) => Number(documentVersion) >= this.view.version,
        }).run();
        this.metrics.count("configuration_confirmations_total", { outcome: result.kind });
        this.record(result, startedAt);
        this.asked.notify();
        if (result.kind !== "confirmed") {
            await sleep(retryMs);
        }
        this.asking = false;
        this.asked.notify();
    }

    /** A confirmation that comes after its round is true as of the time at which it was asked for. */
    private recordLate(response: ConfirmResponse, sentAt: number): void {
        this.view.applyConfirmation(response, sentAt);
        this.metrics.count("configuration_confirmations_total", { outcome: "after-round" });
        if (this.failed !== undefined) {
            // The host can be reached, if slowly.
            this.failed = { ...this.failed, unreachable: 0 };
        }
        this.logReach([]);
        this.asked.notify();
    }

    private record(result: RoundResult, startedAt: number): void {
        if (result.kind === "confirmed") {
            this.view.applyConfirmation(result.response, result.sentAt);
        }
        // The feed may have confirmed meanwhile. A confirmed document that can't be read here changes nothing.
        if (this.view.confirmedAt >= startedAt) {
            this.failed = undefined;
        }
        else {
            const { rounds = 0, unreachable = 0 } = this.isInDoubt ? this.failed! : {};
            this.failed = {
                rounds: rounds + 1,
                unreachable: nextCount(unreachable, result),
                at: steadyNow(),
            };
        }
        this.logReach(result.kind === "confirmed" ? [] : result.silent);
    }

    private logReach(silent: readonly string[]): void {
        const { isCutOff } = this;
        if (isCutOff !== this.wasCutOff) {
            this.wasCutOff = isCutOff;
            const confirmedAgeMs = Math.round(this.view.confirmedAgeMs);
            this.log.warn(isCutOff ? "configuration.cut-off" : "configuration.reachable", { silent, confirmedAgeMs });
        }
    }

    private async call(url: string): Promise<ConfirmResponse> {
        const req = { entry: this.options.entry, documentVersion: BigInt(this.view.version) };
        try {
            return await this.clients.client(FleetService, url).confirm(req, { timeoutMs: callTimeoutMs });
        }
        catch (err) {
            this.log.warn("configuration.not-confirmed", { host: url, error: messageOf(err) });
            throw err;
        }
    }
}
