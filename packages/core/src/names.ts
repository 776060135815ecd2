/** Names and random ids. */
import { randomBytes } from "node:crypto";
import Type from "typebox";

/** Name of a host, resource or operator: lower-case letters, digits, dots and dashes. */
export const Name = Type.String({ pattern: "^[a-z0-9][a-z0-9.-]{0,62}$" });

const idBytes = 9;

/** Returns a random URL-safe id of 12 characters. */
export function newId(): string {
    return randomBytes(idBytes).toString("base64url");
}
