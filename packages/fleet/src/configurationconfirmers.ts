/** Asks the control group whether the entry's configuration is the latest one, for decisions that depend on it. */
import { type EventLog, eventLoop, messageOf, type Metrics, Notifier, sleep, steadyNow } from "@winchpath/core";
import { type PeerClients } from "@winchpath/rpc";
import { type FleetView } from "./fleetviews.js";
import { type ConfirmResponse, FleetService } from "./gen/winchpath/fleet/v1/fleet_pb.js";

/** Requests that come in within this time share one question, in milliseconds. */
const batchMs = 5;
const callTimeoutMs = 600;
/** Pause after a question without an answer, in milliseconds. */
const retryMs = 50;
/** Number of other control hosts that are asked if the leader is unknown or does not answer. */
const maxOtherHosts = 3;
/** Time after which other control hosts are asked too, in milliseconds. */
const hedgeMs = 60;

export interface ConfirmerOptions {
    readonly entry: string;
    /** URL of the leader; empty if unknown. */
    readonly leaderUrl: () => string;
    /** URLs of control hosts. */
    readonly controlUrls: () => readonly string[];
}

export class ConfigurationConfirmer<C> {
    /** Notified after each question, answered or not. */
    private readonly asked = new Notifier();
    private asking = false;

    public constructor(
        private readonly view: FleetView<C>,
        private readonly clients: PeerClients,
        private readonly options: ConfirmerOptions,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {}

    /** Resolves to whether every configuration acknowledged before the call is known here, after `timeoutMs` at most. */
    public async confirm(timeoutMs: number): Promise<boolean> {
        const calledAt = steadyNow();
        const deadline = calledAt + timeoutMs;
        while (this.view.confirmedAt < calledAt) {
            if (eventLoop.readUntil >= deadline) {
                return false;
            }
            this.startAsking();
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
        const sentAt = steadyNow();
        const answer = await this.firstAnswer().catch(() => undefined);
        this.metrics.count("configuration_confirmations_total", {
            outcome: answer === undefined ? "none" : "answered",
        });
        if (answer === undefined) {
            await sleep(retryMs);
        }
        else {
            this.view.applyConfirmation(answer, sentAt);
        }
        this.asking = false;
        this.asked.notify();
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

    /** Asks the leader, and other members of the control group if it does not answer soon; all answer by a quorum read. */
    private async firstAnswer(): Promise<ConfirmResponse> {
        const leaderUrl = this.options.leaderUrl();
        const others = this.options.controlUrls().filter(url => url !== leaderUrl).slice(0, maxOtherHosts);
        if (leaderUrl === "") {
            return Promise.any(others.map(url => this.call(url)));
        }
        const leaderAnswer = this.call(leaderUrl);
        const answeredSoon = await Promise.race([
            leaderAnswer.then(() => true, () => false),
            sleep(hedgeMs).then(() => false),
        ]);
        return answeredSoon ? leaderAnswer : Promise.any([leaderAnswer, ...others.map(url => this.call(url))]);
    }
}
