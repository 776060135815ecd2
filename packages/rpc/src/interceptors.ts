/** Interceptors that add and check the shared key, the logical clock and the message length of every RPC. */
import { type DescMessage, type Message, toBinary } from "@bufbuild/protobuf";
import { Code, ConnectError, type Interceptor, type UnaryRequest } from "@connectrpc/connect";
import { type Timeline } from "@winchpath/timeline";
import { createHash, timingSafeEqual } from "node:crypto";

/** Maximum message size in bytes; a snapshot of the control state must fit. */
export const maxMessageBytes = 64 * 1024 * 1024;

const keyHeader = "authorization";
const clockHeader = "winchpath-clock";
/**
 * Length of the request message in bytes. Detects messages truncated by an aborted call, which may decode
 * without an error.
 */
const lengthHeader = "winchpath-length";

/** Options of clients and servers. */
export interface RpcOptions {
    /** Key shared by all processes of the system; undefined if authentication is disabled. */
    readonly key: string | undefined;
    readonly timeline: Timeline;
}

/** Adds key, clock and message length to requests, and observes the clock of responses. */
export function clientInterceptor(options: RpcOptions): Interceptor {
    return next => async req => {
        if (options.key !== undefined) {
            req.header.set(keyHeader, `Bearer ${options.key}`);
        }
        req.header.set(clockHeader, String(options.timeline.tick()));
        if (!req.stream) {
            req.header.set(lengthHeader, String(messageLength(req)));
        }
        const res = await next(req);
        observeClock(options.timeline, res.header.get(clockHeader) ?? undefined);
        return res;
    };
}

/** Rejects requests without the key or with an incomplete message, and exchanges the clock. */
export function serverInterceptor(options: RpcOptions): Interceptor {
    return next => async req => {
        if (
            options.key !== undefined && !secretsEqual(req.header.get(keyHeader) ?? undefined, `Bearer ${options.key}`)
        ) {
            throw new ConnectError("the shared key is missing or wrong", Code.Unauthenticated);
        }
        observeClock(options.timeline, req.header.get(clockHeader) ?? undefined);
        if (!req.stream && req.header.get(lengthHeader) !== String(messageLength(req))) {
            throw new ConnectError("the request's message did not arrive whole", Code.DataLoss);
        }
        const res = await next(req);
        res.header.set(clockHeader, String(options.timeline.tick()));
        return res;
    };
}

/** Compares secrets in constant time. */
export function secretsEqual(given: string | undefined, expected: string): boolean {
    const digest = (text: string) => createHash("sha256").update(text).digest();
    return timingSafeEqual(digest(given ?? ""), digest(expected));
}

function messageLength(req: UnaryRequest): number {
    return toBinary<DescMessage>(req.method.input, req.message as Message).length;
}

function observeClock(timeline: Timeline, header: string | undefined): void {
    if (header !== undefined && /^\d{1,18}$/.test(header)) {
        timeline.observe(BigInt(header));
    }
}
