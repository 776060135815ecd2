/** Reports header and field names from upstreams that this version doesn't support, once each. */
import { type EventLog, type Metrics } from "@winchpath/core";

/** Bound on the names that are logged, in case an upstream generates them. */
const maxNames = 64;
/** Names are cut to this length in the log. */
const maxLoggedLength = 64;

/**
 * An unsupported signal may ask for less load than the upstream gets. Each name is logged once per service, without its
 * value, which may be a secret.
 */
export class UnsupportedNameReporter {
    private readonly reported = new Set<string>();

    public constructor(private readonly log: EventLog, private readonly metrics: Metrics) {}

    /** `names`: of unsupported headers or fields; `upstream`: the upstream that sent them. */
    public report(service: string, upstream: string, names: readonly string[]): void {
        for (const name of names) {
            const key = `${service}/${name}`;
            if (!this.reported.has(key) && this.reported.size < maxNames) {
                this.reported.add(key);
                this.log.warn("upstream.unknown-word", { service, upstream, name: name.slice(0, maxLoggedLength) });
                this.metrics.count("upstream_unknown_words_total", { service });
            }
        }
    }
}
