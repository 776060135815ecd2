/** Fetches a configuration document that an entry lacks, from one control host at a time. */
import { type EventLog, messageOf, type Metrics, steadyNow } from "@winchpath/core";
import { type ConfirmResponse } from "./gen/winchpath/fleet/v1/fleet_pb.js";

/**
 * Time after which a fetch is given up, in milliseconds. A large document may share a slow link with other traffic; without
 * it the entry serves nothing meanwhile that depends on it.
 */
export const fetchTimeoutMs = 5000;
/** Time after which another host is asked as well, in milliseconds: the connection to the first may be silent. */
const hedgeMs = 2500;

export interface DocumentFetcherOptions {
    /** Asks a host for the document. */
    readonly fetch: (url: string) => Promise<ConfirmResponse>;
    /** Called with each document that has arrived; `sentAt`: monotonic time at which it was asked for. */
    readonly apply: (response: ConfirmResponse, sentAt: number) => void;
}

export class DocumentFetcher {
    private readonly hosts = new Set<string>();
    private lastStartedAt = Number.NEGATIVE_INFINITY;

    public constructor(
        private readonly options: DocumentFetcherOptions,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {}

    /** Whether a document is being fetched that a majority has committed and the entry lacks. */
    public get isFetching(): boolean {
        return this.hosts.size > 0;
    }

    /** Fetches from a host that has the document, unless another fetch has begun a short while ago. */
    public fetchFrom(url: string): void {
        const isRecent = this.isFetching && steadyNow() - this.lastStartedAt < hedgeMs;
        if (!isRecent && !this.hosts.has(url)) {
            void this.run(url);
        }
    }

    private async run(url: string): Promise<void> {
        const sentAt = steadyNow();
        this.lastStartedAt = sentAt;
        this.hosts.add(url);
        try {
            const response = await this.options.fetch(url);
            this.options.apply(response, sentAt);
            this.log.info("configuration.fetched", {
                host: url,
                version: Number(response.documentVersion),
                bytes: response.documentText.length,
                tookMs: Math.round(steadyNow() - sentAt),
            });
            this.metrics.count("configuration_fetches_total", { outcome: "fetched" });
        }
        catch (err) {
            this.log.warn("configuration.not-fetched", { host: url, error: messageOf(err) });
            this.metrics.count("configuration_fetches_total", { outcome: "failed" });
        }
        finally {
            this.hosts.delete(url);
        }
    }
}
