import { expect } from "earl";
import { describe, it } from "node:test";
import { CompositeStateMachine, encodeCommand } from "../index.js";

const context = { index: 1, term: 1, time: 1 };

describe("CompositeStateMachine", () => {
    const applied: unknown[] = [];
    const machine = new CompositeStateMachine([{
        slice: "list",
        apply: command => applied.push(command),
        snapshot: () => applied,
        restore: () => undefined,
    }]);

    for (const malformed of ["", "{\"slice\":\"li"]) {
        it(`continues after a command that is ${malformed === "" ? "empty" : "truncated"}`, () => {
            machine.apply(Buffer.from(malformed), context);
            const before = applied.length;
            machine.apply(encodeCommand("list", "next"), context);
            expect(applied.slice(before)).toEqual(["next"]);
        });
    }
});
