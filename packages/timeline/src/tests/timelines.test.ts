import { expect } from "earl";
import { describe, it } from "node:test";
import { HtmlRenderer, mergeEvents, Timeline } from "../index.js";

function timelineOf(process: string, capacity?: number): Timeline {
    return new Timeline({ process, host: process, dataCentre: "plateau" }, capacity);
}

describe("Timeline", () => {
    it("drops the oldest events and counts them", () => {
        const timeline = timelineOf("entry/a", 2);
        ["one", "two", "three"].forEach(kind => timeline.record(kind));
        expect(timeline.list().map(event => event.kind)).toEqual(["two", "three"]);
        expect(timeline.dropped).toEqual(1n);
    });

    it("orders an effect after its cause despite skewed wall clocks", t => {
        t.mock.timers.enable({ apis: ["Date"], now: 5000 });
        const sender = timelineOf("z-sender");
        sender.record("sent");
        const clock = sender.tick();
        t.mock.timers.setTime(1000);
        const receiver = timelineOf("a-receiver");
        receiver.observe(clock);
        receiver.record("received");
        const kinds = mergeEvents([receiver.list(), sender.list()]).map(event => event.kind);
        expect(kinds).toEqual(["sent", "received"]);
    });

    it("escapes HTML in event details", () => {
        const timeline = timelineOf("entry/a");
        timeline.record("request.failed", { detail: "<script>" });
        expect(new HtmlRenderer().render(timeline.list())).toInclude("&lt;script&gt;");
    });
});
