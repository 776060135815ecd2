/** Client functions that send chats and bookings to an entry. */
import { createParser } from "eventsource-parser";
import { request } from "undici";

export interface ChatResult {
    readonly status: number;
    /** The concatenated content of all chunks. */
    readonly text: string;
    /** Whether the stream ended with `[DONE]`. */
    readonly isComplete: boolean;
    readonly outcome: string | undefined;
    readonly retryAfter: string | undefined;
    readonly code: string | undefined;
}

export interface ChatOptions {
    readonly tokens?: number;
    readonly headers?: Record<string, string>;
    readonly signal?: AbortSignal;
    /** Called after each received chunk with the content so far. */
    readonly onToken?: (text: string) => void | Promise<void>;
}

/** Sends a streaming chat request. An interrupted stream doesn't throw; `isComplete` is false then. */
export async function sendChat(
    entryUrl: string,
    model: string,
    question: string,
    options: ChatOptions = {},
): Promise<ChatResult> {
    const body = {
        model,
        stream: true,
        max_tokens: options.tokens ?? 8,
        messages: [{ role: "user", content: question }],
    };
    const res = await request(`${entryUrl}/v1/chat/completions`, {
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
            isComplete: false,
            outcome: problem.outcome,
            code: problem.code,
            retryAfter,
        };
    }
    let text = "";
    let isComplete = false;
    const parser = createParser({
        onEvent: event => {
            isComplete = event.data === "[DONE]";
            text += isComplete ? "" : parseTokenContent(event.data);
        },
    });
    try {
        for await (const chunk of res.body) {
            parser.feed(String(chunk));
            await options.onToken?.(text);
        }
    }
    catch {
        isComplete = false;
    }
    return { status: 200, text, isComplete, outcome: undefined, retryAfter: undefined, code: undefined };
}

function parseTokenContent(data: string): string {
    return (JSON.parse(data) as { choices: { delta: { content: string; }; }[]; }).choices[0].delta.content;
}

export interface BookingResult {
    readonly status: number;
    readonly body: Record<string, unknown>;
    readonly retryAfter: string | undefined;
}

/** Sends a booking, with an idempotency key if one is given. */
export async function createBooking(
    entryUrl: string,
    booking: string,
    key?: string,
    delayMs = 0,
): Promise<BookingResult> {
    const res = await request(`${entryUrl}/services/booking-api/bookings`, {
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
