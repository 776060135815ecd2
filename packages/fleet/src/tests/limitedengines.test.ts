import { expect } from "earl";
import { describe, it } from "node:test";
import { planOrders, withoutLimited } from "../index.js";
import { engine, need, spec } from "./standins.js";

describe("engines that take few requests", () => {
    const engines = [engine("e1", ["m1"]), engine("e2", ["m2"]), engine("e3", ["m3"])];
    const needs = [need("m1", { rate: 12 }), need("m2", { rate: 9 }), need("m3", { rate: 9 })];

    function able(rates: Readonly<Record<string, number>>): string[] {
        return withoutLimited(engines, needs, id => rates[id]).map(({ id }) => id);
    }

    it("are planned without, those that take their part are not", () => {
        expect([able({}), able({ e1: 1 }), able({ e1: 6 })]).toEqual([
            ["e1", "e2", "e3"],
            ["e2", "e3"],
            ["e1", "e2", "e3"],
        ]);
    });

    it("are planned with where most do", () => {
        expect(able({ e1: 1, e2: 0, e3: 20 })).toEqual(["e1", "e2", "e3"]);
    });

    // Guards against callers being sent away for a model that another engine has room for.
    it("leave what only they hold to be loaded elsewhere", () => {
        const values = { service: "s", spec, needs, storeStarts: 1, capacityOf: () => 10_000 };
        const plan = (rates: Readonly<Record<string, number>>) =>
            planOrders({ ...values, engines: withoutLimited(engines, needs, id => rates[id]) })
                .orders.filter(({ order }) => order.model === "m1").length;
        expect([plan({}), plan({ e1: 1 })]).toEqual([0, 1]);
    });
});
