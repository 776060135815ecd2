import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { KeyReplicas } from "../keyreplicas.js";
import { identityText, streamKey } from "../streamkeys.js";
import { streamOf } from "./testmembers.js";

const urls = ["http://10.0.0.1:7", "http://10.0.0.2:7", "http://10.0.0.3:7", "http://10.0.0.4:7", "http://10.0.0.5:7"];
const key = fc.uint8Array({ minLength: 16, maxLength: 16 });

describe("KeyReplicas", () => {
    it("chooses two members whatever their order, and all if they are fewer", () => {
        fc.assert(fc.property(key, fc.shuffledSubarray(urls), (k, members) => {
            const replicas = new KeyReplicas(members).of(k);
            expect(replicas.length).toEqual(Math.min(2, members.length));
            expect(new Set(replicas).size).toEqual(replicas.length);
            expect(replicas).toEqual(new KeyReplicas([...members].reverse()).of(k));
        }));
    });

    it("keeps the replicas that remain when another member leaves", () => {
        fc.assert(fc.property(key, fc.constantFrom(...urls), (k, leaving) => {
            const before = new KeyReplicas(urls).of(k).filter(url => url !== leaving);
            const after = new KeyReplicas(urls.filter(url => url !== leaving)).of(k);
            before.forEach(url => expect(after).toInclude(url));
        }));
    });

    it("spreads keys over the members", () => {
        const counts = new Map<string, number>();
        const replicas = new KeyReplicas(urls);
        for (let i = 0; i < 5000; i++) {
            replicas.of(streamKey(identityText(streamOf(`id-${i}`))))
                .forEach(url => counts.set(url, (counts.get(url) ?? 0) + 1));
        }
        // 2,000 each on average.
        urls.forEach(url => expect(counts.get(url)!).toBeGreaterThan(1500));
        urls.forEach(url => expect(counts.get(url)!).toBeLessThan(2500));
    });
});

describe("streamKey", () => {
    const field = fc.string({ unit: "binary", maxLength: 4 });
    const identity = fc.record({
        id: field,
        service: field,
        host: field,
        url: field,
        account: fc.option(field, { nil: undefined }),
    });

    it("is the same for two identities only if all their fields are", () => {
        fc.assert(fc.property(identity, identity, (a, b) => {
            const same = a.id === b.id && a.service === b.service && a.host === b.host && a.url === b.url
                && a.account === b.account;
            expect(Buffer.compare(streamKey(identityText(a)), streamKey(identityText(b))) === 0).toEqual(same);
        }));
    });
});
