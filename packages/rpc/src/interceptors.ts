/** What every RPC between processes carries: the shared key, the logical clock and the message's length. */
import { type DescMessage, type Message, toBinary } from "@bufbuild/protobuf";
import { Code, ConnectError, type Interceptor, type UnaryRequest } from "@connectrpc/connect";
import { type Timeline } from "@winchpath/timeline";
import { createHash, timingSafeEqual } from "node:crypto";

const keyHeader = "authorization";
const clockHeader = "winchpath-clock";
/**
 * Bytes of the request's message. A caller that gives up while it writes ends
 * its stream, and what is missing does not show: an empty message decodes well.
 */
const lengthHeader = "winchpath-length";

/** What both sides of an RPC need. */
export interface RpcOptions {
    /** Shared key of all the system's processes; undefined only where settings say so. */
    readonly key: string | undefined;
    readonly timeline: Timeline;
}

/** Adds the key and the clock to what is sent, and takes in the clock of what comes back. */
export function clientInterceptor(options: RpcOptions): Interceptor {
    return next => async req => {
        if (options.key !== undefined) {
            req.header.set(keyHeader, `Bearer ${options.key}`);
        }
        req.header.set(clockHeader, String(options.timeline.tick()));
        if (!req.stream) {
            req.header.set(lengthHeader, String(lengthOf(req)));
        }
        const res = await next(req);
        observe(options.timeline, res.header.get(clockHeader) ?? undefined);
        return res;
    };
}

/** Refuses callers without the key, and keeps the clock. */
export function serverInterceptor(options: RpcOptions): Interceptor {
    return next => async req => {
        if (options.key !== undefined && !sameSecret(req.header.get(keyHeader) ?? undefined, `Bearer ${options.key}`)) {
            throw new ConnectError("the shared key is missing or wrong", Code.Unauthenticated);
        }
        observe(options.timeline, req.header.get(clockHeader) ?? undefined);
        if (!req.stream && req.header.get(lengthHeader) !== String(lengthOf(req))) {
            throw new ConnectError("the request's message did not arrive whole", Code.DataLoss);
        }
        const res = await next(req);
        res.header.set(clockHeader, String(options.timeline.tick()));
        return res;
    };
}

/** Compares without telling by its time how much of the secret was right. */
export function sameSecret(given: string | undefined, expected: string): boolean {
    const digest = (text: string) => createHash("sha256").update(text).digest();
    return timingSafeEqual(digest(given ?? ""), digest(expected));
}

function lengthOf(req: UnaryRequest): number {
    return toBinary<DescMessage>(req.method.input, req.message as Message).length;
}

function observe(timeline: Timeline, header: string | undefined): void {
    if (header !== undefined && /^\d{1,18}$/.test(header)) {
        timeline.observe(BigInt(header));
    }
}
