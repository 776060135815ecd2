import { expect } from "earl";
import { describe, it } from "node:test";
import { CrashBook, fingerprintOf, type RequestIdentity } from "../index.js";

const key = Buffer.from("key");
const asked: RequestIdentity = { method: "POST", host: "h", url: "/a", account: "one", body: Buffer.from("body") };

describe("a fingerprint", () => {
    it("is the same for equal requests, and another where method, host, path, account, body or key differ", () => {
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

    it("can't be made to fall together by moving a border", () => {
        const moved = { ...asked, host: "h\"", url: "/a" };
        expect(fingerprintOf(key, moved)).not.toEqual(fingerprintOf(key, { ...asked, host: "h", url: "\"/a" }));
    });
});

describe("the key of the fleet's fingerprints", () => {
    it("is the first that was set, and outlives a snapshot", () => {
        const book = new CrashBook();
        book.apply({ kind: "set-key", key: "b25l" }, { time: 0 });
        book.apply({ kind: "set-key", key: "dHdv" }, { time: 0 });
        const restored = new CrashBook();
        restored.restore(JSON.parse(JSON.stringify(book.snapshot())));
        expect([book.key, restored.key].map(held => Buffer.from(held!).toString())).toEqual(["one", "one"]);
    });

    it("isn't changed by a command that can't be read", () => {
        const book = new CrashBook();
        [undefined, {}, { kind: "set-key", key: 3 }, { kind: "other" }].forEach(command =>
            book.apply(command, { time: 0 })
        );
        expect(book.key).toEqual(undefined);
    });
});
