/** Assigns one id to all requests that were interrupted by the same crash of the upstream. */
import { newId, steadyNow } from "@winchpath/core";
import { type Upstream } from "./upstreams.js";

export class CrashTracker {
    /** The latest crash; `at` is the monotonic time at which it was detected. */
    private current: { readonly name: string; readonly at: number; } | undefined;

    public constructor(private readonly upstream: Pick<Upstream, "hasEnded">) {}

    /**
     * Returns the id of the crash that has just interrupted a request, or an empty string if the upstream is running.
     * A request that started after the latest known crash was interrupted by a new one.
     */
    public async crashIdFor(startedAt: number): Promise<string> {
        if (!await this.upstream.hasEnded()) {
            return "";
        }
        if (this.current === undefined || startedAt >= this.current.at) {
            this.current = { name: newId(), at: steadyNow() };
        }
        return this.current.name;
    }
}
