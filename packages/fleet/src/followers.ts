/** The entry's task that finds the leader and polls it. */
import { type EventLog, messageOf, sleep, steadyNow } from "@winchpath/core";
import { isSilence, type PeerClients } from "@winchpath/rpc";
import { FleetService, type PollResponse } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type FollowedLeader } from "./meters.js";
import { type FleetView } from "./views.js";

/** How long the leader may hold a poll without news, in milliseconds. */
const pollWaitMs = 1000;
/** A poll without an answer for this long is given up; half a second beyond what the leader may wait. */
const pollTimeoutMs = 1500;
/** A host that has not said by then who leads is passed over, in milliseconds. */
const probeTimeoutMs = 500;
/** A leader that has just begun tells ninety entries of a thousand upstreams at once, 120 KB each. */
const firstTimeoutMs = 2500;
/** Pause before the next host is asked, in milliseconds. */
const retryMs = 50;
/** Hosts that are asked at once who leads. */
const askedAtOnce = 3;
/** A host that has failed is passed over for this long, in milliseconds: an election takes about as long. */
const failedMs = 1500;

/** What a host has answered. */
interface Answer {
    readonly url: string;
    readonly res: PollResponse;
}

export interface FollowerOptions {
    readonly entry: string;
    readonly dataCentre: string;
    /** URLs of control hosts from the settings; they may change. */
    readonly seeds: () => readonly string[];
}

export class FeedFollower<C> {
    private epoch = "";
    private position = 0n;
    private leaderUrl = "";
    private remembered: readonly string[] = [];
    private nextHost = 0;
    /** Host that another one said leads; it is asked itself before it is followed. */
    private named = "";
    /** When hosts failed last. */
    private readonly failures = new Map<string, number>();

    public constructor(
        private readonly view: FleetView<C>,
        private readonly clients: PeerClients,
        private readonly options: FollowerOptions,
        private readonly log: EventLog,
    ) {}

    /** URL of the leader that answered last; empty where none does. */
    public get leader(): string {
        return this.leaderUrl;
    }

    /** The leader that answered last, with the identity of its leadership. */
    public get followed(): FollowedLeader {
        return { url: this.leaderUrl, epoch: this.epoch };
    }

    /** URLs of control hosts, as the leader told them last. */
    public get controlUrls(): readonly string[] {
        return this.remembered;
    }

    /** Polls until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const sentAt = steadyNow();
            const answer = this.leaderUrl === ""
                ? await this.askSome(signal)
                : await this.ask(this.leaderUrl, signal, false);
            if (signal.aborted) {
                return;
            }
            const found = answer !== undefined && this.take(answer, sentAt);
            if (!found) {
                await sleep(retryMs, signal);
            }
        }
    }

    /** The first answer of a few hosts that leads on: one that is down would hold a single question up for long. */
    private async askSome(signal: AbortSignal): Promise<Answer | undefined> {
        const asked = this.nextUrls().map(async url => {
            const answer = await this.ask(url, signal, true);
            if (answer === undefined || !this.leadsOn(answer)) {
                throw new Error("leads nowhere");
            }
            return answer;
        });
        // That none leads on is an ordinary end: what failed was told where it failed.
        return Promise.any(asked).catch(() => undefined);
    }

    /** Undefined where the host doesn't answer. */
    private async ask(url: string, signal: AbortSignal, probe: boolean): Promise<Answer | undefined> {
        try {
            return { url, res: await (probe ? this.probe(url, signal) : this.poll(url, signal)) };
        }
        catch (err) {
            if (!signal.aborted) {
                this.noteFailure(url, err);
            }
            return undefined;
        }
    }

    private noteFailure(url: string, err: unknown): void {
        this.failures.set(url, steadyNow());
        if (isSilence(err)) {
            this.clients.forget(url);
        }
        if (url === this.leaderUrl) {
            this.lose(url, messageOf(err));
        }
    }

    private probe(url: string, signal: AbortSignal): Promise<PollResponse> {
        const { entry, dataCentre } = this.options;
        const req = { entry, dataCentre, probe: true };
        return this.clients.client(FleetService, url).poll(req, { timeoutMs: probeTimeoutMs, signal });
    }

    /** Whether an answer is a leader's, or names one that may be there. */
    private leadsOn({ url, res }: Answer): boolean {
        return !res.notLeader || (res.leaderUrl !== "" && res.leaderUrl !== url && !this.hasFailed(res.leaderUrl));
    }

    private hasFailed(url: string): boolean {
        return steadyNow() - (this.failures.get(url) ?? Number.NEGATIVE_INFINITY) < failedMs;
    }

    private poll(url: string, signal: AbortSignal): Promise<PollResponse> {
        const known = url === this.leaderUrl && this.epoch !== "";
        const req = {
            entry: this.options.entry,
            dataCentre: this.options.dataCentre,
            epoch: known ? this.epoch : "",
            position: known ? this.position : 0n,
            documentVersion: BigInt(this.view.version),
            quarantinePosition: known ? BigInt(this.view.quarantine.position) : 0n,
            waitMs: pollWaitMs,
        };
        const timeoutMs = known ? pollTimeoutMs : firstTimeoutMs;
        return this.clients.client(FleetService, url).poll(req, { timeoutMs, signal });
    }

    /** Whether the answer leads on. */
    private take(answer: Answer, sentAt: number): boolean {
        const { url, res } = answer;
        if (res.controlUrls.length > 0) {
            this.remembered = res.controlUrls;
        }
        if (res.notLeader) {
            this.lose(url, "it does not lead");
            this.named = this.leadsOn(answer) ? res.leaderUrl : "";
            return this.named !== "";
        }
        this.failures.delete(url);
        if (res.leads) {
            this.leaderUrl = url;
            return true;
        }
        if (this.epoch !== res.epoch) {
            this.log.info("control.followed", { leader: url, epoch: res.epoch });
        }
        this.leaderUrl = url;
        this.epoch = res.epoch;
        this.position = res.position;
        this.view.take(res, sentAt);
        return true;
    }

    private lose(url: string, reason: string): void {
        if (url === this.leaderUrl && this.epoch !== "") {
            this.log.warn("control.lost", { leader: url, reason, ageMs: Math.round(this.view.ageMs) });
        }
        this.leaderUrl = "";
        this.epoch = "";
        this.position = 0n;
    }

    /** Hosts to ask next, in turn; those that have just failed only where there are no others. */
    private nextUrls(): string[] {
        const all = [...new Set([...this.remembered, ...this.options.seeds()])];
        const sound = all.filter(url => !this.hasFailed(url));
        const urls = sound.length > 0 ? sound : all;
        if (this.named !== "" && !this.hasFailed(this.named)) {
            const { named } = this;
            this.named = "";
            return [named];
        }
        const count = Math.min(askedAtOnce, urls.length);
        const chosen = Array.from({ length: count }, (_, index) => urls[(this.nextHost + index) % urls.length]);
        this.nextHost += count;
        return chosen;
    }
}
