/** HTTP headers as Node.js receives them. */

/** Headers as a flat list of alternating names and values, as in Node.js. */
export type RawHeaders = readonly string[];

/** Returns the first value of a header; `name` is in lower case. */
export function headerValue(headers: RawHeaders, name: string): string | undefined {
    return headerValues(headers, name).next().value ?? undefined;
}

/** Returns all values of a header; `name` is in lower case. */
export function* headerValues(headers: RawHeaders, name: string): Generator<string, void> {
    for (let index = 0; index < headers.length; index += 2) {
        if (headers[index].toLowerCase() === name) {
            yield headers[index + 1];
        }
    }
}
