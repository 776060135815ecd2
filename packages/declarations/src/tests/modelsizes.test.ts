import { expect } from "earl";
import { describe, it } from "node:test";
import { type Configuration, ConfigurationState, declaredModelSizes } from "../index.js";

const model = { loadMs: 1, memoryLoadMs: 1, diskLoadMs: 1, adapters: 1 };
const engine = { slots: 1, cacheTokens: 1, memoryMb: 300, adapterPlaces: 1, storeLoadsPerSecond: 1 };

type Sizes = Readonly<Record<string, readonly [sizeMb: number, adapterMb: number]>>;

function configuration(version: number, sizes: Sizes): Configuration {
    const models = Object.entries(sizes).map(([name, [sizeMb, adapterMb]]) => ({ ...model, name, sizeMb, adapterMb }));
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    return {
        version,
        routes: [],
        services: [{ name: "s", maxConnections: 1, engine: { ...engine, models } }],
        limits,
    };
}

describe("the sizes that configurations have declared", () => {
    const put = (state: ConfigurationState, version: number, sizes: Sizes) =>
        state.apply({ version, text: `${version}`, modelSizes: declaredModelSizes(configuration(version, sizes)) });

    it("are kept for models that are dropped, and the largest of each for the others", () => {
        const state = new ConfigurationState();
        put(state, 1, { a: [100, 1], b: [50, 4] });
        put(state, 2, { b: [70, 2] });
        expect(state.modelSizes.largest("s", "a")).toEqual({ sizeMb: 100, adapterMb: 1 });
        expect(state.modelSizes.largest("s", "b")).toEqual({ sizeMb: 70, adapterMb: 4 });
        expect(state.modelSizes.largest("other", "a")).toEqual(undefined);
    });

    it("leave out configurations that never were in force", () => {
        const state = new ConfigurationState();
        put(state, 2, { a: [100, 1] });
        put(state, 1, { a: [200, 1], b: [1, 1] });
        expect(state.modelSizes.largest("s", "a")).toEqual({ sizeMb: 100, adapterMb: 1 });
        expect(state.modelSizes.largest("s", "b")).toEqual(undefined);
    });

    it("leave out models that fit on no engine, since none can hold them", () => {
        const state = new ConfigurationState();
        put(state, 1, { a: [301, 1] });
        put(state, 2, { a: [100, 1] });
        expect(state.modelSizes.largest("s", "a")).toEqual({ sizeMb: 100, adapterMb: 1 });
    });

    // Guards against a leader that knows only what the latest configuration declares, since it started from a snapshot.
    it("are part of the snapshot", () => {
        const state = new ConfigurationState();
        put(state, 1, { a: [100, 1] });
        put(state, 2, { b: [50, 1] });
        const restored = new ConfigurationState();
        restored.restore(JSON.parse(JSON.stringify(state.snapshot())));
        expect(restored.current).toEqual({ version: 2, text: "2" });
        expect(restored.modelSizes.largest("s", "a")).toEqual({ sizeMb: 100, adapterMb: 1 });
        put(restored, 3, {});
        expect(restored.modelSizes.largest("s", "b")).toEqual({ sizeMb: 50, adapterMb: 1 });
    });

    it("are unknown for commands and snapshots of earlier releases", () => {
        const state = new ConfigurationState();
        state.restore({ version: 1, text: "1" });
        state.apply({ version: 2, text: "2" });
        expect(state.current).toEqual({ version: 2, text: "2" });
        expect(state.modelSizes.largest("s", "a")).toEqual(undefined);
        const empty = new ConfigurationState();
        empty.restore({});
        expect(empty.current).toEqual(undefined);
    });
});
