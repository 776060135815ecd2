/**
 * Bounds what a response has besides its content: informational responses, empty lines, header lines, chunk sizes and
 * extensions, trailers. The HTTP client reads some of these without end, at the cost of the process's other requests.
 */
import { type Socket } from "node:net";
import { type Dispatcher } from "undici";

/** Framing bytes that a response may have in any case; several times the header bytes that the HTTP client accepts. */
export const maxFramingBytes = 64 * 1024;
/** Further framing bytes per byte of content; a chunk of a single byte has five. */
const maxFramingBytesPerContentByte = 16;

export class ExcessiveFramingError extends Error {
    public constructor() {
        super(excessiveFramingReason);
    }
}

export const excessiveFramingReason = "the framing of the response exceeds its bound";

/** Counts the content of the response that is being read from a connection. */
export interface ContentCounter {
    add(bytes: number): void;
    /** The response has ended; the bytes that follow belong to the next one. */
    end(): void;
}

/** Bytes of one connection. */
class ConnectionBytes implements ContentCounter {
    /** Bytes that were read before the current response. */
    private before = 0;
    private content = 0;
    private hasEnded = false;

    public constructor(private readonly socket: Socket) {}

    public add(bytes: number): void {
        this.content += bytes;
    }

    public end(): void {
        this.hasEnded = true;
    }

    /** Called before further bytes are parsed. */
    public check(): void {
        // Bytes that were read from the kernel, but not by the parser yet, are left out.
        const parsed = this.socket.bytesRead - this.socket.readableLength;
        if (this.hasEnded) {
            this.before = parsed;
            this.content = 0;
            this.hasEnded = false;
        }
        const framing = parsed - this.before - this.content;
        if (framing > maxFramingBytes + maxFramingBytesPerContentByte * this.content) {
            this.socket.destroy(new ExcessiveFramingError());
        }
    }
}

/** Ends connections whose responses exceed the bound, with an {@link ExcessiveFramingError}. */
export class FramingGuard {
    private reading: ConnectionBytes | undefined;

    /** Registers a listener that runs before that of the HTTP client, which parses synchronously. */
    public attach(socket: Socket): void {
        const bytes = new ConnectionBytes(socket);
        socket.prependListener("readable", () => {
            this.reading = bytes;
            bytes.check();
        });
    }

    /** The counter of the connection that is being parsed; valid in the callback for the start of a response. */
    public get current(): ContentCounter | undefined {
        return this.reading;
    }

    /** Counts the content of all responses of a dispatcher whose connections are attached. */
    public readonly interceptor: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) =>
        dispatch(options, new CountingHandler(this, handler));
}

/** Passes all calls on to another handler. */
class CountingHandler implements Dispatcher.DispatchHandler {
    private counter: ContentCounter | undefined;

    public constructor(private readonly guard: FramingGuard, private readonly inner: Dispatcher.DispatchHandler) {}

    public onRequestStart(...args: Parameters<NonNullable<Dispatcher.DispatchHandler["onRequestStart"]>>): void {
        this.inner.onRequestStart?.(...args);
    }

    public onRequestUpgrade(...args: Parameters<NonNullable<Dispatcher.DispatchHandler["onRequestUpgrade"]>>): void {
        this.inner.onRequestUpgrade?.(...args);
    }

    public onResponseStart(...args: Parameters<NonNullable<Dispatcher.DispatchHandler["onResponseStart"]>>): void {
        this.counter = this.guard.current;
        this.inner.onResponseStart?.(...args);
    }

    public onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.counter?.add(chunk.length);
        this.inner.onResponseData?.(controller, chunk);
    }

    public onResponseEnd(...args: Parameters<NonNullable<Dispatcher.DispatchHandler["onResponseEnd"]>>): void {
        this.counter?.end();
        this.inner.onResponseEnd?.(...args);
    }

    public onResponseError(...args: Parameters<NonNullable<Dispatcher.DispatchHandler["onResponseError"]>>): void {
        this.inner.onResponseError?.(...args);
    }
}
