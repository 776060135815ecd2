/** Status codes of HTTP responses. */

/** The range of status codes of final responses (RFC 9110, section 15). */
const minFinalStatus = 200;
const maxStatus = 599;

/** Whether a final response may have this status code; one with another code is no response. */
export function isFinalStatus(status: number): boolean {
    return Number.isInteger(status) && status >= minFinalStatus && status <= maxStatus;
}

/** Describes a status code that no final response may have, for logs. */
export function invalidStatusReason(status: number): string {
    return `invalid status ${status}`;
}
