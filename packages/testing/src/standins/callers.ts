/** A caller to test with. */
import { createParser } from "eventsource-parser";
import { request } from "undici";

/** What a caller got for a chat. */
export interface ChatAnswer {
    readonly status: number;
    /** The content, joined. */
    readonly text: string;
    /** Whether the stream's end mark came, or the whole body. */
    readonly whole: boolean;
    readonly outcome: string | undefined;
    readonly retryAfter: string | undefined;
    readonly code: string | undefined;
}

export interface ChatOptions {
    readonly tokens?: number;
    readonly headers?: Record<string, string>;
    readonly signal?: AbortSignal;
    /** Called at each piece of content. */
    readonly onToken?: (token: string) => void | Promise<void>;
}

/** Asks for a streamed answer. A broken stream is not an error here: `whole` tells. */
export async function chat(
    entry: string,
    model: string,
    question: string,
    options: ChatOptions = {},
): Promise<ChatAnswer> {
    const body = {
        model,
        stream: true,
        max_tokens: options.tokens ?? 8,
        messages: [{ role: "user", content: question }],
    };
    const res = await request(`${entry}/v1/chat/completions`, {
        method: "POST",
        headers: { "content-type": "application/json", ...options.headers },
        body: JSON.stringify(body),
        signal: options.signal,
    });
    if (res.statusCode !== 200) {
        const problem = await res.body.json() as { outcome?: string; code?: string; };
        const retryAfter = res.headers["retry-after"] as string | undefined;
        return {
            status: res.statusCode,
            text: "",
            whole: false,
            outcome: problem.outcome,
            code: problem.code,
            retryAfter,
        };
    }
    let text = "";
    let whole = false;
    const parser = createParser({
        onEvent: event => {
            whole = event.data === "[DONE]";
            text += whole ? "" : tokenOf(event.data);
        },
    });
    try {
        for await (const chunk of res.body) {
            parser.feed(String(chunk));
            await options.onToken?.(text);
        }
    }
    catch {
        whole = false;
    }
    return { status: 200, text, whole, outcome: undefined, retryAfter: undefined, code: undefined };
}

function tokenOf(data: string): string {
    return (JSON.parse(data) as { choices: { delta: { content: string; }; }[]; }).choices[0].delta.content;
}

/** What a caller got for a booking. */
export interface BookingAnswer {
    readonly status: number;
    readonly body: Record<string, unknown>;
    readonly retryAfter: string | undefined;
}

/** Makes a booking, under an idempotency key where one is given. */
export async function book(entry: string, booking: string, key?: string, delayMs = 0): Promise<BookingAnswer> {
    const res = await request(`${entry}/services/booking-api/bookings`, {
        method: "POST",
        headers: {
            "content-type": "application/json",
            "winchpath-caller": "crew",
            ...(key === undefined ? {} : { "idempotency-key": key }),
        },
        body: JSON.stringify({ booking, delayMs }),
    });
    const body = await res.body.json() as Record<string, unknown>;
    return { status: res.statusCode, body, retryAfter: res.headers["retry-after"] as string | undefined };
}
