/** Reads bodies of other processes up to a bound. */
import { Failure, FailureCode } from "./errors.js";

/** Reads a body as UTF-8. Throws a `Failure` and closes the body if it is longer than `maxBytes`. */
export async function readBoundedText(body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<string> {
    const chunks: Uint8Array[] = [];
    let length = 0;
    for await (const chunk of body) {
        length += chunk.length;
        if (length > maxBytes) {
            throw Failure.of(FailureCode.invalid, `a response is longer than ${maxBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}
