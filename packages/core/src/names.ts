/** Names and identities. */
import { randomBytes } from "node:crypto";
import Type from "typebox";

/** Name of a host, resource or operator: lower case letters, digits, dots and dashes. */
export const Name = Type.String({ pattern: "^[a-z0-9][a-z0-9.-]{0,62}$" });

const identityBytes = 9;

/** A random identity of 12 characters that is safe in URLs. */
export function newIdentity(): string {
    return randomBytes(identityBytes).toString("base64url");
}
