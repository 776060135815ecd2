/**
 * One round of questions to all control hosts whether the entry's configuration is the latest one. Answers hold a version
 * only, so that their time says nothing about the size of what the entry lacks.
 */
import { Code, ConnectError } from "@connectrpc/connect";
import { Deferred, eventLoop, sleep, startFairTimer, steadyNow } from "@winchpath/core";
import { isRefusal, isResponse } from "@winchpath/rpc";
import { type ConfirmResponse } from "./gen/winchpath/fleet/v1/fleet_pb.js";

/** Time for which a round waits for responses, in milliseconds; longer than control hosts wait for a majority. */
export const roundMs = 600;
/** Time after which a call is given up, in milliseconds: what it confirms after the round is still true. */
export const callTimeoutMs = 1500;
/** Time after which another control host is asked too, in milliseconds. */
const hedgeMs = 60;
/** Time after which all are asked, in milliseconds; leaves each of them the time to say that it has no majority. */
const lastHedgeMs = 150;
/** Hosts that are asked at once if no leader is known. */
const firstHosts = 3;
/** Delay of the event loop from which on a round says nothing about the hosts that have not responded, in milliseconds. */
const lateMs = 100;
/** Pause before a host is asked again to which a call has failed, in milliseconds. */
const retryMs = 75;

/** A host's answer that a majority has committed a version, the one that the entry holds or a newer one. */
export interface Answer {
    readonly url: string;
    readonly response: ConfirmResponse;
    /** Monotonic time at which it was asked for. */
    readonly sentAt: number;
}

/** What a round has shown. */
export type RoundResult =
    | { readonly kind: "answered"; readonly answer: Answer; }
    /** A host has responded that hears its leader, so that a majority can probably be reached; none has answered in time. */
    | { readonly kind: "delayed"; }
    /** At least half of the members have responded, none with an answer, and none hears a leader. */
    | { readonly kind: "undecided"; readonly silent: readonly string[]; }
    /** Less than half of the members have responded; `areDown`: whether all that have not refuse connections. */
    | { readonly kind: "unreachable"; readonly silent: readonly string[]; readonly areDown: boolean; }
    /** The same, in a process that was itself late, so that responses may have come without being read in time. */
    | { readonly kind: "late"; readonly silent: readonly string[]; };

export interface RoundOptions {
    /** URL of the leader, which is asked first; empty if unknown. */
    readonly leaderUrl: string;
    /** Members of the control group, of which a majority can confirm. */
    readonly controlUrls: readonly string[];
    /** Hosts that are asked too, since the members known here may have been replaced. */
    readonly seedUrls: readonly string[];
    readonly call: (url: string) => Promise<ConfirmResponse>;
    /** Called when a host has not responded within the time of the round; `sentAt`: when it was asked last. */
    readonly onSilent: (url: string, sentAt: number) => void;
    /** Called with a usable answer that comes after the round. */
    readonly onLate: (answer: Answer) => void;
    /** Whether a response is about the document that is held, or a newer one. */
    readonly isUsable: (response: ConfirmResponse) => boolean;
}

/** Whether a host has responded that it hears its leader, although no majority has answered it in time. */
function reportsDelay(err: unknown): boolean {
    return err instanceof ConnectError && err.code === Code.ResourceExhausted;
}

export class ConfirmationRound {
    private readonly startedAt = steadyNow();
    private readonly deadline = this.startedAt + roundMs;
    /** URLs of the hosts that have responded. */
    private readonly responding = new Set<string>();
    /** URLs of the hosts that have refused connections. */
    private readonly refusing = new Set<string>();
    /** URLs of all hosts that the round asks. */
    private asked: readonly string[] = [];
    /** Whether a host has responded that hears its leader. */
    private isDelayed = false;
    private isOver = false;

    public constructor(private readonly options: RoundOptions) {}

    /** Resolves with the first answer, or when every host has responded or had its time. */
    public async run(): Promise<RoundResult> {
        const { leaderUrl, controlUrls, seedUrls } = this.options;
        const others = [...new Set([...controlUrls, ...seedUrls])].filter(url => url !== leaderUrl);
        const urls = leaderUrl === "" ? others : [leaderUrl, ...others];
        this.asked = urls;
        const earlier = leaderUrl === "" ? firstHosts - 1 : 0;
        const answers = urls.map((url, index) =>
            this.askAfter(Math.min(Math.max(0, index - earlier) * hedgeMs, lastHedgeMs), url)
        );
        const answer = await Promise.any(answers).catch(() => undefined);
        this.isOver = true;
        return answer === undefined ? this.withoutAnswer() : { kind: "answered", answer };
    }

    private withoutAnswer(): RoundResult {
        const { controlUrls } = this.options;
        if (this.isDelayed) {
            return { kind: "delayed" };
        }
        const silent = controlUrls.filter(url => !this.responding.has(url));
        if (silent.length * 2 <= controlUrls.length) {
            return { kind: "undecided", silent };
        }
        // The members may have been replaced by hosts that only the seeds name.
        const areDown = this.asked.every(url => this.responding.has(url) || this.refusing.has(url));
        return this.isLate && !areDown ? { kind: "late", silent } : { kind: "unreachable", silent, areDown };
    }

    private get isLate(): boolean {
        return eventLoop.delayMs > lateMs || steadyNow() > this.deadline + lateMs;
    }

    /** One host after the other, as one of them is usually enough. */
    private async askAfter(delayMs: number, url: string): Promise<Answer> {
        if (delayMs > 0) {
            await sleep(delayMs);
        }
        return this.ask(url);
    }

    /**
     * Asks one host until it answers, since a call may fail for want of a connection only. Rejects if it doesn't within the
     * time of the round, or at once if it refuses connections.
     */
    private async ask(url: string): Promise<Answer> {
        while (!this.isOver && eventLoop.readUntil < this.deadline) {
            const sentAt = steadyNow();
            try {
                const response = await this.callInTime(url, sentAt);
                if (response === undefined) {
                    break;
                }
                this.responding.add(url);
                if (this.options.isUsable(response)) {
                    return { url, response, sentAt };
                }
            }
            catch (err) {
                if (isResponse(err)) {
                    this.responding.add(url);
                    this.isDelayed ||= reportsDelay(err);
                }
                else if (isRefusal(err)) {
                    this.refusing.add(url);
                    break;
                }
            }
            await sleep(retryMs);
        }
        throw new Error("no answer");
    }

    /** Resolves to undefined once the time of the round is over; the call goes on. */
    private async callInTime(url: string, sentAt: number): Promise<ConfirmResponse | undefined> {
        const call = this.options.call(url);
        let inTime = true;
        const onDeadline = new Deferred<undefined>();
        const timer = startFairTimer(() => {
            inTime = false;
            this.options.onSilent(url, sentAt);
            onDeadline.resolve(undefined);
        }, Math.max(1, this.deadline - sentAt));
        // A failure is reported by the caller of this method, or has been logged if it comes later.
        call.then(
            response => {
                if (!inTime && this.options.isUsable(response)) {
                    this.options.onLate({ url, response, sentAt });
                }
            },
            () => undefined,
        );
        try {
            return await Promise.race([call, onDeadline.promise]);
        }
        finally {
            timer.cancel();
        }
    }
}
