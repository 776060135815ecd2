/** Gives one name to all that is told of one end of the upstream. */
import { newIdentity, steadyNow } from "@winchpath/core";
import { type Upstream } from "./engines.js";

export class UpstreamEnds {
    /** `at`: steady time at which it was first noticed. */
    private current: { readonly name: string; readonly at: number; } | undefined;

    public constructor(private readonly upstream: Pick<Upstream, "hasEnded">) {}

    /**
     * Name of the end under which a request was broken off just now; empty where the upstream lives. A request that
     * began no sooner than the last known end was broken off by another one, however soon the upstream was back.
     */
    public async nameFor(startedAt: number): Promise<string> {
        if (!await this.upstream.hasEnded()) {
            return "";
        }
        if (this.current === undefined || startedAt >= this.current.at) {
            this.current = { name: newIdentity(), at: steadyNow() };
        }
        return this.current.name;
    }
}
