import { expect } from "earl";
import { describe, it } from "node:test";
import { selectTarget, targetDraw } from "../index.js";
import { testRoute } from "./testservers.js";

describe("the target of a route with several services", () => {
    const targets = [{ service: "a", weight: 1 }, { service: "b", weight: 1 }];
    const route = testRoute({ kind: "streaming", resumable: true, targets });
    const ids = Array.from({ length: 1000 }, (_, index) => `attempt-${index}`);
    const serviceOf = (id: string, resumedId?: string) => selectTarget(targets, targetDraw(route, { id, resumedId }));

    // Guards against streams that are looked up and resumed in another service than the one that began them.
    it("is the same for a stream that its client takes up again", () => {
        expect(ids.every(id => serviceOf("later", id) === serviceOf(id))).toEqual(true);
    });

    it("follows the weights", () => {
        const share = ids.filter(id => serviceOf(id) === "a").length / ids.length;
        expect(share > 0.4 && share < 0.6).toEqual(true);
    });
});
