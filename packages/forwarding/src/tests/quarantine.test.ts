import { type Route } from "@winchpath/declarations";
import { type ListedRequest } from "@winchpath/quarantine";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { type Arrival, type RawUpstream, type TestEntry, TestStage, wholeAnswer } from "./standins.js";

const body = "ends what runs it";
const asked = { method: "POST", body } as const;

describe("an entry, of requests under which upstreams end,", () => {
    let stage: TestStage;
    let entry: TestEntry;

    afterEach(() => stage.stop());

    async function start(
        route: Partial<Route>,
        ...answers: ((arrival: Arrival, count: number) => void)[]
    ): Promise<readonly RawUpstream[]> {
        stage = await TestStage.start(route, answers);
        entry = stage.entry;
        return stage.upstreams;
    }

    const good = ({ id, socket }: Arrival) => socket.write(wholeAnswer(id, "hello"));
    const end = ({ socket }: Arrival) => socket.destroy();

    /** What the entry calls the request that is asked for. */
    function fingerprint(): string {
        return entry.view.quarantine.fingerprint({
            method: "POST",
            host: "h.example",
            url: "/a/b?c=%41",
            account: undefined,
            body: Buffer.from(body),
        })!;
    }

    let position = 0;
    function list(standing: ListedRequest["standing"]): void {
        position += 1;
        const listed = [{ fingerprint: fingerprint(), size: body.length, standing, occasions: 3 }];
        entry.view.quarantine.take({ position, whole: false, listed, removed: [] });
    }

    it("refuses a barred one at once, with a problem document and no time to come back, whatever its id", async () => {
        const [only] = await start({}, good);
        list("barred");
        const answer = await entry.call("q1", asked);
        expect([answer.status, answer.headers["content-type"]]).toEqual([422, "application/problem+json"]);
        expect(answer.headers["retry-after"]).toEqual(undefined);
        const problem = JSON.parse(answer.body) as Record<string, unknown>;
        expect([problem.type, problem.status]).toEqual(["urn:winchpath:problem:ends-upstreams", 422]);
        expect((await entry.call("q2", asked)).status).toEqual(422);
        expect(only.arrivals.length).toEqual(0);
    });

    it("serves others of the same size and path", async () => {
        await start({}, good);
        list("barred");
        expect((await entry.call("q1", { method: "POST", body: "x".repeat(body.length) })).status).toEqual(200);
    });

    it("refuses one that is barred while it waits, and doesn't send it first", async () => {
        const [only] = await start({ kind: "unsafe", objectiveMs: 10_000 }, () => undefined);
        entry.learn({ id: "u0", address: only.address, slots: 0 });
        const waiting = entry.call("q1", asked);
        await entry.untilOpen(1);
        list("barred");
        entry.forwarder.refresh();
        expect((await waiting).status).toEqual(422);
        expect(only.arrivals.length).toEqual(0);
    });

    it("tells of one that ran at an upstream whose connection was lost", async () => {
        await start({ kind: "unsafe" }, end);
        expect((await entry.call("q1", asked)).status).toEqual(502);
        expect(entry.lost).toEqual([{ upstream: "u0", fingerprint: fingerprint() }]);
    });

    it("tells nothing of one that an upstream fails, refuses or leaves unanswered", async () => {
        const failing = ({ id, socket }: Arrival) => socket.write(wholeAnswer(id, "no", "", "500 Bad"));
        await start({ kind: "unsafe", timeoutMs: 200 }, failing, () => undefined);
        await entry.call("q1", asked);
        await entry.call("q2", asked);
        expect(entry.lost).toEqual([]);
    });

    it("tells nothing of one that came to a good end here lately", async () => {
        await start({ kind: "unsafe" }, (arrival, count) => count === 1 ? good(arrival) : end(arrival));
        await entry.call("q1", asked);
        await entry.call("q2", asked);
        expect(entry.lost).toEqual([]);
    });

    it("tells of a good end of a suspected one", async () => {
        await start({}, good);
        list("suspected");
        expect((await entry.call("q1", asked)).status).toEqual(200);
        expect(entry.endedWell).toEqual([fingerprint()]);
    });

    it("makes no second try of a suspected one, and two tries of others at most", async () => {
        const all = await start({ maxAttempts: 3 }, end, end, end);
        const arrivals = () => all.reduce((sum, { arrivals }) => sum + arrivals.length, 0);
        await entry.call("q1", asked);
        expect(arrivals()).toEqual(2);
        list("suspected");
        await entry.call("q2", asked);
        expect(arrivals()).toEqual(3);
    });
});
