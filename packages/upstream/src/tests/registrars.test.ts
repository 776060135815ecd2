import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { Timeline } from "@winchpath/timeline";
import { expect } from "earl";
import { describe, it } from "node:test";
import { leaseMs, Registrar, type ReportRequest, ReportRequestSchema } from "../index.js";

function createReport(changes: MessageInitShape<typeof ReportRequestSchema>): ReportRequest {
    return create(ReportRequestSchema, { upstream: "u", incarnation: "2", sequence: 5n, ...changes } as ReportRequest);
}

function newRegistrar(): Registrar {
    return new Registrar(new Timeline({ process: "entry/t", host: "t", dataCentre: "d" }));
}

describe("Registrar", () => {
    it("keeps the newest incarnation's newest report", () => {
        const registrar = newRegistrar();
        registrar.receive(createReport({}));
        registrar.receive(createReport({ incarnation: "1", sequence: 9n }));
        registrar.receive(createReport({ sequence: 4n, leaving: true }));
        expect(registrar.find("u")!.report.sequence).toEqual(5n);
        registrar.receive(createReport({ incarnation: "3", sequence: 1n }));
        expect(registrar.find("u")!.report.incarnation).toEqual("3");
    });

    it("lists a model as ready only on accelerators where the engine reports it ready", () => {
        const registrar = newRegistrar();
        const resident = { $typeName: "winchpath.upstream.v1.Resident" as const, bytes: 1n };
        registrar.receive(createReport({
            residents: [
                { ...resident, accelerator: "a0", item: "m@1", ready: true },
                { ...resident, accelerator: "a1", item: "n@1", ready: false },
            ],
        }));
        const { ready } = registrar.find("u")!;
        expect([...ready.get("a0")!]).toEqual(["m@1"]);
        expect(ready.get("a1")).toEqual(undefined);
    });

    it("removes an upstream whose lease has expired, but not right after a suspension of its own process", async t => {
        t.mock.timers.enable({ apis: ["setTimeout", "Date"] });
        const registrar = newRegistrar();
        const stop = new AbortController();
        registrar.receive(createReport({}));
        const running = registrar.run(stop.signal);
        const pass = async (ms: number) => {
            t.mock.timers.tick(ms);
            for (let turn = 0; turn < 3; turn++) {
                await new Promise(resolve => setImmediate(resolve));
            }
        };
        await pass(leaseMs * 3);
        expect(registrar.find("u") === undefined).toEqual(false);
        await pass(100);
        expect(registrar.find("u")).toEqual(undefined);
        stop.abort();
        await pass(100);
        await running;
    });
});
