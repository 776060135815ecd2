/** The entry's client of the change feed: discovers the leader and polls it. */
import { type EventLog, messageOf, sleep, steadyNow } from "@winchpath/core";
import { isNoResponseError, isTimeout, type PeerClients } from "@winchpath/rpc";
import { type FleetView } from "./fleetviews.js";
import { FleetService, type PollResponse } from "./gen/winchpath/fleet/v1/fleet_pb.js";
import { type HostCapacityReport } from "./hostcapacities.js";
import { type FollowedLeader } from "./meters.js";

/** How long the leader may hold a poll without changes. */
const pollWaitMs = 1000;
/** Timeout of a poll; exceeds the time for which the leader may hold it. */
const pollTimeoutMs = 1500;
const probeTimeoutMs = 500;
/** A poll without an answer for this long is overdue: other hosts are probed while it waits. */
const pollOverdueMs = 1150;
/** The same for the first poll of a leader, which it does not hold. */
const initialPollOverdueMs = 600;
/** Timeout of the first poll of a leader; longer, since a new leader sends all entries a full snapshot at once. */
const initialPollTimeoutMs = 2500;
/** Factor of a poll's timeout after one that has timed out: a large response may take longer on a slow link. */
const longerPollFactor = 2;
const retryMs = 50;
const maxParallelProbes = 3;
/** A host that has failed is skipped for this long; about the duration of an election. */
const failureCooldownMs = 1500;

interface HostResponse {
    readonly url: string;
    readonly res: PollResponse;
}

export interface FeedFollowerOptions {
    readonly entry: string;
    readonly dataCentre: string;
    /** URLs of control hosts from the current settings. */
    readonly seeds: () => readonly string[];
    /** Returns the current resources and load of this entry's host. */
    readonly capacity?: () => HostCapacityReport;
}

export class FeedFollower<C> {
    private epoch = "";
    private position = 0n;
    private leaderUrl = "";
    private knownControlUrls: readonly string[] = [];
    private nextUrlIndex = 0;
    /** Leader URL that another host has named; the host is probed before it is followed. */
    private suggestedLeaderUrl = "";
    /** Whether the last poll has timed out. */
    private hasTimedOut = false;
    /** Monotonic time of the last failure of each host, by URL. */
    private readonly lastFailures = new Map<string, number>();

    public constructor(
        private readonly view: FleetView<C>,
        private readonly clients: PeerClients,
        private readonly options: FeedFollowerOptions,
        private readonly log: EventLog,
    ) {}

    /** URL of the current leader; empty if unknown. */
    public get leader(): string {
        return this.leaderUrl;
    }

    /** The current leader and its epoch. */
    public get currentLeader(): FollowedLeader {
        return { url: this.leaderUrl, epoch: this.epoch };
    }

    /** URLs of control hosts, as last reported by the control group. */
    public get controlUrls(): readonly string[] {
        return this.knownControlUrls;
    }

    /** Records the members of the control group as a host has told them that can reach a majority. */
    public updateControlUrls(urls: readonly string[]): void {
        if (urls.length > 0) {
            this.knownControlUrls = urls;
        }
    }

    /** Polls until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const sentAt = steadyNow();
            const response = this.leaderUrl === ""
                ? await this.probeHosts(signal)
                : await this.pollOrReplace(signal);
            if (signal.aborted) {
                return;
            }
            const found = response !== undefined && this.handleResponse(response, sentAt);
            if (!found) {
                await sleep(retryMs, signal);
            }
        }
    }

    /** Polls the leader. Once the answer is overdue, another leader is looked for, and followed if there is one. */
    private async pollOrReplace(signal: AbortSignal): Promise<HostResponse | undefined> {
        const polledUrl = this.leaderUrl;
        const controller = new AbortController();
        const abort = () => controller.abort();
        signal.addEventListener("abort", abort, { once: true });
        try {
            const poll = this.request(polledUrl, controller.signal, false);
            const overdueMs = this.epoch === "" ? initialPollOverdueMs : pollOverdueMs;
            const isOverdue = await Promise.race([
                poll.then(() => false),
                sleep(overdueMs, controller.signal).then(() => true),
            ]);
            return isOverdue
                ? await Promise.race([poll, this.findReplacement(polledUrl, controller.signal)])
                : await poll;
        }
        finally {
            abort();
            signal.removeEventListener("abort", abort);
        }
    }

    /** Probes until a leader other than `silentUrl` is located; never resolves once the signal is aborted. */
    private async findReplacement(silentUrl: string, signal: AbortSignal): Promise<HostResponse> {
        for (;;) {
            const found = await this.probeHosts(signal, silentUrl);
            if (signal.aborted) {
                return new Promise(() => undefined);
            }
            if (found !== undefined) {
                this.lastFailures.set(silentUrl, steadyNow());
                this.clients.disconnect(silentUrl);
                this.forgetLeader(silentUrl, "overdue");
                return found;
            }
            await sleep(retryMs, signal);
        }
    }

    /** Probes several hosts in parallel, so that one that is down delays nothing. Returns the first useful response. */
    private async probeHosts(signal: AbortSignal, silentUrl = ""): Promise<HostResponse | undefined> {
        const probes = this.nextUrls().filter(url => url !== silentUrl).map(async url => {
            const response = await this.request(url, signal, true);
            if (response === undefined || !this.locatesLeader(response) || this.names(response, silentUrl)) {
                throw new Error("no leader located");
            }
            return response;
        });
        // Expected while no leader is known; failures have been recorded by `request`.
        return Promise.any(probes).catch(() => undefined);
    }

    /** Returns undefined if the request fails. */
    private async request(url: string, signal: AbortSignal, probe: boolean): Promise<HostResponse | undefined> {
        try {
            return { url, res: await (probe ? this.probe(url, signal) : this.poll(url, signal)) };
        }
        catch (err) {
            if (!signal.aborted) {
                this.hasTimedOut ||= !probe && isTimeout(err);
                this.recordFailure(url, err);
            }
            return undefined;
        }
    }

    private recordFailure(url: string, err: unknown): void {
        this.lastFailures.set(url, steadyNow());
        if (isNoResponseError(err)) {
            this.clients.disconnect(url);
        }
        if (url === this.leaderUrl) {
            this.forgetLeader(url, messageOf(err));
        }
    }

    private probe(url: string, signal: AbortSignal): Promise<PollResponse> {
        const { entry, dataCentre } = this.options;
        const req = { entry, dataCentre, probe: true };
        return this.clients.client(FleetService, url).poll(req, { timeoutMs: probeTimeoutMs, signal });
    }

    /** Whether a response comes from the leader, or names another host that has not failed recently. */
    private locatesLeader({ url, res }: HostResponse): boolean {
        return !res.notLeader
            || (res.leaderUrl !== "" && res.leaderUrl !== url && !this.hasFailedRecently(res.leaderUrl));
    }

    /** Whether a host that doesn't lead names `url` as the leader. */
    private names({ res }: HostResponse, url: string): boolean {
        return res.notLeader && res.leaderUrl === url;
    }

    private hasFailedRecently(url: string): boolean {
        return steadyNow() - (this.lastFailures.get(url) ?? Number.NEGATIVE_INFINITY) < failureCooldownMs;
    }

    private poll(url: string, signal: AbortSignal): Promise<PollResponse> {
        const isResuming = url === this.leaderUrl && this.epoch !== "";
        const req = {
            entry: this.options.entry,
            dataCentre: this.options.dataCentre,
            epoch: isResuming ? this.epoch : "",
            position: isResuming ? this.position : 0n,
            documentVersion: BigInt(this.view.version),
            quarantinePosition: isResuming ? BigInt(this.view.quarantine.position) : 0n,
            softwareVersionPosition: isResuming ? this.view.softwareVersionPositionIn(this.epoch) : undefined,
            waitMs: pollWaitMs,
            capacity: this.options.capacity?.(),
            knownEntries: this.view.entries,
        };
        const expectedMs = isResuming ? pollTimeoutMs : initialPollTimeoutMs;
        const timeoutMs = this.hasTimedOut ? expectedMs * longerPollFactor : expectedMs;
        return this.clients.client(FleetService, url).poll(req, { timeoutMs, signal });
    }

    /** Returns whether the response locates the leader. */
    private handleResponse(response: HostResponse, sentAt: number): boolean {
        const { url, res } = response;
        this.updateControlUrls(res.controlUrls);
        if (res.notLeader) {
            this.forgetLeader(url, "not the leader");
            this.suggestedLeaderUrl = this.locatesLeader(response) ? res.leaderUrl : "";
            return this.suggestedLeaderUrl !== "";
        }
        this.lastFailures.delete(url);
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
        this.hasTimedOut = false;
        this.view.apply(res, sentAt);
        return true;
    }

    private forgetLeader(url: string, reason: string): void {
        if (url === this.leaderUrl && this.epoch !== "") {
            this.log.warn("control.lost", { leader: url, reason, ageMs: Math.round(this.view.ageMs) });
        }
        this.leaderUrl = "";
        this.epoch = "";
        this.position = 0n;
    }

    /** Next hosts to probe, round-robin. Hosts that failed recently are used only if there are no others. */
    private nextUrls(): string[] {
        const all = [...new Set([...this.knownControlUrls, ...this.options.seeds()])];
        const healthy = all.filter(url => !this.hasFailedRecently(url));
        const urls = healthy.length > 0 ? healthy : all;
        if (this.suggestedLeaderUrl !== "" && !this.hasFailedRecently(this.suggestedLeaderUrl)) {
            const { suggestedLeaderUrl } = this;
            this.suggestedLeaderUrl = "";
            return [suggestedLeaderUrl];
        }
        const count = Math.min(maxParallelProbes, urls.length);
        const chosen = Array.from({ length: count }, (_, index) => urls[(this.nextUrlIndex + index) % urls.length]);
        this.nextUrlIndex += count;
        return chosen;
    }
}
