/** Gives one name to all that is told of one end of the upstream. */
import { newIdentity } from "@winchpath/core";
import { type Upstream } from "./engines.js";

/** Requests that an end breaks off are told of it within this time of each other, in milliseconds. */
const togetherMs = 500;

export class UpstreamEnds {
    private current: { readonly name: string; readonly at: number; } | undefined;

    public constructor(private readonly upstream: Pick<Upstream, "hasEnded">) {}

    /** Name of the end under which a request was broken off just now; empty where the upstream lives. */
    public async nameNow(): Promise<string> {
        if (!await this.upstream.hasEnded()) {
            return "";
        }
        const now = Date.now();
        if (this.current === undefined || now - this.current.at > togetherMs) {
            this.current = { name: newIdentity(), at: now };
        }
        return this.current.name;
    }
}
