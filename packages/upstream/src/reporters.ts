/** Sends an agent's reports to every control host. */
import { type Client } from "@connectrpc/connect";
import { type Logger, logger, messageOf, Notifier } from "@winchpath/core";
import { type RpcClients } from "@winchpath/rpc";
import { RegistrarService, type ReportRequest, type ReportResponse } from "./gen/winchpath/upstream/v1/upstream_pb.js";

const reportTimeoutMs = 1000;
/** Reports whose timestamps are retained; must cover the time after which a request is late. */
const maxRetainedReports = 4096;

/** Assigns sequence numbers to reports and records when each was created. */
export class ReportSequencer {
    private latest = 0;
    private readonly timestamps: number[] = [];

    /** Returns the sequence number for a report created now. */
    public next(): number {
        this.latest += 1;
        this.timestamps[this.latest % maxRetainedReports] = Date.now();
        return this.latest;
    }

    /** Milliseconds since a report was created; infinite if its timestamp is not retained. */
    public ageOf(sequence: number): number {
        const isRetained = sequence > 0 && sequence <= this.latest && sequence > this.latest - maxRetainedReports;
        return isRetained ? Date.now() - this.timestamps[sequence % maxRetainedReports] : Number.POSITIVE_INFINITY;
    }
}

/** Creates the reports of a {@link Reporter} and handles the responses. */
export interface ReportSource {
    report(): ReportRequest;
    /** Handles a control host's response to a report. */
    onResponse(url: string, res: ReportResponse): void;
}

export class Reporter {
    private readonly triggers = new Map<string, Notifier>();
    private readonly log: Logger = logger("upstream");

    public constructor(
        private readonly clients: RpcClients,
        private readonly source: ReportSource,
        private readonly intervalMs: number,
        private readonly signal: AbortSignal,
    ) {}

    /** Replaces the set of control hosts that are reported to. */
    public setPeers(urls: readonly string[]): void {
        for (const url of urls) {
            if (!this.triggers.has(url)) {
                const trigger = new Notifier();
                this.triggers.set(url, trigger);
                void this.run(url, trigger);
            }
        }
        for (const [url, trigger] of this.triggers) {
            if (!urls.includes(url)) {
                this.triggers.delete(url);
                trigger.notify();
            }
        }
    }

    /** Sends a report to every control host without waiting for the interval. */
    public reportNow(): void {
        this.triggers.forEach(trigger => trigger.notify());
    }

    private async run(url: string, trigger: Notifier): Promise<void> {
        while (!this.signal.aborted && this.triggers.get(url) === trigger) {
            await this.reportTo(this.clients.client(RegistrarService, url), url);
            await trigger.wait(this.intervalMs);
        }
    }

    private async reportTo(client: Client<typeof RegistrarService>, url: string): Promise<void> {
        try {
            const res = await client.report(this.source.report(), { timeoutMs: reportTimeoutMs });
            this.source.onResponse(url, res);
        }
        catch (err) {
            this.log("report failed", { to: url, error: messageOf(err) });
        }
    }
}
