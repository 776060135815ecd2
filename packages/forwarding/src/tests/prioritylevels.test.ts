import { type ClientAccount } from "@winchpath/declarations";
import { expect } from "earl";
import { describe, it } from "node:test";
import { PriorityLevels } from "../index.js";
import { TestEntry, testRoute } from "./testservers.js";

const routes = [0, 1, 2].map(priority => testRoute({ name: `r${priority}`, prefix: `/${priority}/`, priority }));
const account = (name: string, priority?: number): ClientAccount =>
    priority === undefined ? { name, keyDigests: [] } : { name, keyDigests: [], priority };

function levels(accounts: ClientAccount[] | undefined, priority: number | undefined): number[] {
    const configuration = { ...TestEntry.configuration(routes), ...(accounts === undefined ? {} : { accounts }) };
    const priorities = new PriorityLevels(configuration);
    return routes.map(route => priorities.levelOf(route, priority));
}

describe("PriorityLevels", () => {
    it("are the route priorities if no accounts are configured", () => {
        expect(levels(undefined, undefined)).toEqual([0, 1, 2]);
    });

    it("are ordered by route for the same account priority", () => {
        const [first, second, third] = levels([account("a", 1), account("b", 1)], 1);
        expect(first < second && second < third).toEqual(true);
    });

    it("are ordered by account before route", () => {
        const accounts = [account("a", 0), account("b", 1)];
        expect(Math.max(...levels(accounts, 0)) < Math.min(...levels(accounts, 1))).toEqual(true);
    });

    it("never exceed the supported number of levels", () => {
        const accounts = Array.from({ length: 8 }, (_, priority) => account(`a${priority}`, priority));
        const all = accounts.flatMap(({ priority }) => levels(accounts, priority));
        expect(Math.min(...all)).toEqual(0);
        expect(Math.max(...all)).toEqual(9);
    });
});
