import { expect } from "earl";
import { describe, it } from "node:test";
import { fingerprintOf, QuarantineState, type RequestIdentity } from "../index.js";

const key = Buffer.from("key");
const asked: RequestIdentity = { method: "POST", host: "h", url: "/a", account: "one", body: Buffer.from("body") };

describe("a fingerprint", () => {
    it("is equal for equal requests, and differs if method, host, path, account, body or key does", () => {
        expect(fingerprintOf(key, { ...asked })).toEqual(fingerprintOf(key, asked));
        const others = [
            { ...asked, method: "PUT" },
            { ...asked, host: "g" },
            { ...asked, url: "/a?b" },
            { ...asked, account: "two" },
            { ...asked, account: undefined },
            { ...asked, body: Buffer.from("bodz") },
        ];
        const all = [asked, ...others].map(identity => fingerprintOf(key, identity));
        all.push(fingerprintOf(Buffer.from("other"), asked));
        expect(new Set(all).size).toEqual(all.length);
    });

    it("doesn't collide when text moves from one field to the next", () => {
        const moved = { ...asked, host: "h\"", url: "/a" };
        expect(fingerprintOf(key, moved)).not.toEqual(fingerprintOf(key, { ...asked, host: "h", url: "\"/a" }));
    });
});

describe("the fingerprint key", () => {
    it("is the first that was set, and is restored from a snapshot", () => {
        const state = new QuarantineState();
        state.apply({ kind: "set-key", key: "b25l" }, { time: 0 });
        state.apply({ kind: "set-key", key: "dHdv" }, { time: 0 });
        const restored = new QuarantineState();
        restored.restore(JSON.parse(JSON.stringify(state.snapshot())));
        expect([state.key, restored.key].map(held => Buffer.from(held!).toString())).toEqual(["one", "one"]);
    });

    it("isn't changed by an invalid command", () => {
        const state = new QuarantineState();
        [undefined, {}, { kind: "set-key", key: 3 }, { kind: "other" }].forEach(command =>
            state.apply(command, { time: 0 })
        );
        expect(state.key).toEqual(undefined);
    });
});
