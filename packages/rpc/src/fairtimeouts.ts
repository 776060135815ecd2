/** Call timeouts that don't count a response as missing while it lies unread. */
import { type DescMessage, type DescMethodUnary, type MessageInitShape } from "@bufbuild/protobuf";
import { Code, ConnectError, type ContextValues, type Transport, type UnaryResponse } from "@connectrpc/connect";
import { startFairTimer, steadyNow } from "@winchpath/core";
import { isResponse } from "./errors.js";

export interface CallOutcome {
    /** Monotonic time at which the call was made. */
    readonly startedAt: number;
    /** Whether the peer has sent a response, which may be an error. */
    readonly responded: boolean;
    readonly timedOut: boolean;
}

/** Told about the calls of a transport. */
export interface CallObserver {
    /** A unary call begins. */
    started(): void;
    ended(outcome: CallOutcome): void;
    /** A streaming call begins. */
    streamStarted(): void;
}

/** Enforces the timeouts of unary calls in place of the library, whose timers run before input is read. */
export class FairTimeoutTransport implements Transport {
    public readonly stream: Transport["stream"];

    public constructor(private readonly inner: Transport, private readonly observer: CallObserver) {
        this.stream = (...args) => {
            observer.streamStarted();
            return inner.stream(...args);
        };
    }

    public async unary<I extends DescMessage, O extends DescMessage>(
        method: DescMethodUnary<I, O>,
        signal: AbortSignal | undefined,
        timeoutMs: number | undefined,
        header: Parameters<Transport["unary"]>[3],
        input: MessageInitShape<I>,
        contextValues?: ContextValues,
    ): Promise<UnaryResponse<I, O>> {
        const startedAt = steadyNow();
        this.observer.started();
        try {
            const response = await this.unaryInTime(method, signal, timeoutMs, header, input, contextValues);
            this.observer.ended({ startedAt, responded: true, timedOut: false });
            return response;
        }
        catch (err) {
            const timedOut = err instanceof ConnectError && err.code === Code.DeadlineExceeded;
            this.observer.ended({ startedAt, responded: isResponse(err), timedOut });
            throw err;
        }
    }

    private async unaryInTime<I extends DescMessage, O extends DescMessage>(
        method: DescMethodUnary<I, O>,
        signal: AbortSignal | undefined,
        timeoutMs: number | undefined,
        header: Parameters<Transport["unary"]>[3],
        input: MessageInitShape<I>,
        contextValues?: ContextValues,
    ): Promise<UnaryResponse<I, O>> {
        if (timeoutMs === undefined) {
            return this.inner.unary(method, signal, undefined, header, input, contextValues);
        }
        const controller = new AbortController();
        const onAbort = () => controller.abort(signal?.reason);
        const onTimeout = () => controller.abort(new ConnectError("the operation timed out", Code.DeadlineExceeded));
        const timer = startFairTimer(onTimeout, timeoutMs);
        signal?.addEventListener("abort", onAbort, { once: true });
        if (signal?.aborted) {
            onAbort();
        }
        try {
            return await this.inner.unary(method, controller.signal, undefined, header, input, contextValues);
        }
        finally {
            timer.cancel();
            signal?.removeEventListener("abort", onAbort);
        }
    }
}
