/** The tasks by which an agent announces its upstream: one for each control host. */
import { type Client } from "@connectrpc/connect";
import { type Logger, logger, messageOf, Notifier } from "@winchpath/core";
import { type RpcClients } from "@winchpath/rpc";
import { RegistrarService, type ReportRequest, type ReportResponse } from "./gen/winchpath/upstream/v1/upstream_pb.js";

const reportTimeoutMs = 1000;
/** Reports whose times are kept: enough for the longest time in which a request is not yet late. */
const keptTimes = 4096;

/** Numbers the reports, and remembers when each was made. */
export class ReportClock {
    private newest = 0;
    private readonly times: number[] = [];

    /** The number of a report that is made now. */
    public next(): number {
        this.newest += 1;
        this.times[this.newest % keptTimes] = Date.now();
        return this.newest;
    }

    /** Milliseconds since a report was made; infinite for one that is not known any more. */
    public ageOf(sequence: number): number {
        const known = sequence > 0 && sequence <= this.newest && sequence > this.newest - keptTimes;
        return known ? Date.now() - this.times[sequence % keptTimes] : Number.POSITIVE_INFINITY;
    }
}

/** What the reporter asks of its agent. */
export interface ReportSource {
    report(): ReportRequest;
    /** Takes in what a control host answered. */
    answered(url: string, res: ReportResponse): void;
}

export class Reporter {
    private readonly peers = new Map<string, Notifier>();
    private readonly log: Logger = logger("upstream");

    public constructor(
        private readonly clients: RpcClients,
        private readonly source: ReportSource,
        private readonly reportMs: number,
        private readonly signal: AbortSignal,
    ) {}

    /** Reports to these control hosts, and to no others, from now on. */
    public setPeers(urls: readonly string[]): void {
        for (const url of urls) {
            if (!this.peers.has(url)) {
                const wake = new Notifier();
                this.peers.set(url, wake);
                void this.run(url, wake);
            }
        }
        for (const [url, wake] of this.peers) {
            if (!urls.includes(url)) {
                this.peers.delete(url);
                wake.notify();
            }
        }
    }

    /** Something that others should know at once has changed. */
    public reportNow(): void {
        this.peers.forEach(wake => wake.notify());
    }

    private async run(url: string, wake: Notifier): Promise<void> {
        while (!this.signal.aborted && this.peers.get(url) === wake) {
            await this.reportTo(this.clients.client(RegistrarService, url), url);
            await wake.wait(this.reportMs);
        }
    }

    private async reportTo(client: Client<typeof RegistrarService>, url: string): Promise<void> {
        try {
            const res = await client.report(this.source.report(), { timeoutMs: reportTimeoutMs });
            this.source.answered(url, res);
        }
        catch (err) {
            this.log("report failed", { to: url, error: messageOf(err) });
        }
    }
}
