import { steadyNow } from "@winchpath/core";
import { type Route } from "@winchpath/declarations";
import { UpstreamState } from "@winchpath/fleet";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { type Arrival, type RawUpstream, type TestEntry, TestStage, wholeAnswer } from "./standins.js";

describe("an entry, of what upstreams say of themselves,", () => {
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
    /** The fewest that an entry opens to an upstream. */
    const connections = 4;
    const leaving = "X-Leaving: 1\r\n";
    const declines = "X-Not-Run: 1\r\n";
    const unavailable = "503 Service Unavailable";

    function restFor(seconds: number) {
        return ({ id, socket }: Arrival) =>
            socket.write(wholeAnswer(id, "no", `${declines}Retry-After: ${seconds}\r\n`, unavailable));
    }

    /** Statuses of so many requests, one after the other. */
    async function call(count: number): Promise<number[]> {
        const statuses: number[] = [];
        for (let index = 0; index < count; index++) {
            statuses.push((await entry.call(`q${index}`)).status);
        }
        return statuses;
    }

    describe("sends nothing more to one that says that it leaves", () => {
        for (
            const [what, answer] of [
                ["a success", ({ id, socket }: Arrival) => socket.write(wholeAnswer(id, "bye", leaving))],
                ["a failure", ({ id, socket }: Arrival) => socket.write(wholeAnswer(id, "", leaving, "500 Error"))],
                [
                    "a 421",
                    ({ id, socket }: Arrival) => socket.write(wholeAnswer(id, "", leaving, "421 Misdirected")),
                ],
                [
                    "a 503",
                    ({ id, socket }: Arrival) => socket.write(wholeAnswer(id, "", leaving + declines, unavailable)),
                ],
                [
                    "an answer of another request",
                    ({ socket }: Arrival) => socket.write(wholeAnswer("other", "", leaving)),
                ],
                [
                    "an answer that breaks off",
                    ({ id, socket }: Arrival) =>
                        socket.end(
                            `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\n${leaving}Content-Length: 9\r\n\r\nab`,
                        ),
                ],
            ] as const
        ) {
            it(`in ${what}`, async () => {
                const [leaver, other] = await start({}, answer, good);
                while (leaver.arrivals.length === 0) {
                    await call(1);
                }
                const before = other.arrivals.length;
                expect(await call(5)).toEqual([200, 200, 200, 200, 200]);
                expect([leaver.arrivals.length, other.arrivals.length]).toEqual([1, before + 5]);
            });
        }

        it("whatever the leader says of it later; another incarnation takes requests at once", async () => {
            const [leaver] = await start({}, (arrival, count) => count > 1 ? good(arrival) : answerLeaving(arrival));
            expect(await call(1)).toEqual([200]);
            const { address } = leaver;
            entry.learn({ id: "u0", address, state: UpstreamState.READY, slots: 9 });
            expect(await call(1)).toEqual([503]);
            entry.learn({ id: "u0@2", name: "u0", born: 2n, address });
            expect(await call(1)).toEqual([200]);
            expect(leaver.arrivals.length).toEqual(2);
        });

        it("and leaves what runs there to its end, while idle connections are closed", async () => {
            let finish = () => {};
            const [only] = await start({ timeoutMs: 5000 }, (arrival, count) => {
                if (count === 1) {
                    finish = () => void good(arrival);
                    return;
                }
                answerLeaving(arrival);
            });
            const running = entry.call("slow");
            await entry.untilOpen(1);
            while (only.arrivals.length === 0) {
                await new Promise(resolve => setImmediate(resolve));
            }
            expect((await entry.call("quick")).status).toEqual(200);
            const quick = only.arrivals[1].socket;
            while (!quick.destroyed && !quick.readableEnded) {
                await new Promise(resolve => setImmediate(resolve));
            }
            finish();
            expect((await running).status).toEqual(200);
        });

        it("also where the request was chosen for it before and waits for a connection", async () => {
            const held: Arrival[] = [];
            stage = await TestStage.start({ timeoutMs: 2000 }, [arrival => held.push(arrival)], connections);
            entry = stage.entry;
            const [only] = stage.upstreams;
            const calls = Array.from({ length: 10 }, (_, index) => entry.call(`q${index}`));
            await entry.untilOpen(calls.length);
            while (held.length < connections) {
                await new Promise(resolve => setImmediate(resolve));
            }
            held.forEach((arrival, index) => index === 0 ? answerLeaving(arrival) : good(arrival));
            const statuses = (await Promise.all(calls)).map(({ status }) => status).sort();
            expect(only.arrivals.length).toEqual(connections);
            expect(statuses).toEqual([200, 200, 200, 200, 503, 503, 503, 503, 503, 503]);
        });
    });

    function answerLeaving({ id, socket }: Arrival): void {
        socket.write(wholeAnswer(id, "bye", leaving));
    }

    describe("sends nothing without a permit to one that names a rate", () => {
        const limited = ({ id, socket }: Arrival) => socket.write(wholeAnswer(id, "hello", "X-Limit: 1\r\n"));

        /** Grants permits, as the leader would. */
        function grant(upstream: string, permits: number): void {
            const grants = [{ upstream, permits, lifted: false, lifeMs: 10_000, dryMs: 0 }];
            entry.view.availability.rates.answered([], grants, { epoch: "1", askedAt: steadyNow() });
        }

        it("and the other serves", async () => {
            const [a, b] = await start({}, limited, good);
            await call(1);
            while (a.arrivals.length === 0) {
                await call(1);
            }
            const before = b.arrivals.length;
            expect(await call(5)).toEqual([200, 200, 200, 200, 200]);
            expect([a.arrivals.length, b.arrivals.length]).toEqual([1, before + 5]);
        });

        it("but refuses at once where all do, and says when to return; a permit lets one go", async () => {
            const [a, b] = await start({ objectiveMs: 100 }, limited, limited);
            expect(await call(2)).toEqual([200, 200]);
            const refused = await entry.call("q");
            expect([refused.status, refused.body.includes("limited")]).toEqual([503, true]);
            expect(Number(refused.headers["retry-after"])).toBeGreaterThan(0);
            grant("u0", 1);
            expect(await call(2)).toEqual([200, 503]);
            expect([a.arrivals.length, b.arrivals.length]).toEqual([2, 1]);
        });

        it("also where the request was chosen for it before and waits for a connection", async () => {
            const held: Arrival[] = [];
            stage = await TestStage.start({ timeoutMs: 2000 }, [arrival => held.push(arrival)], connections);
            entry = stage.entry;
            const [only] = stage.upstreams;
            const calls = Array.from({ length: 10 }, (_, index) => entry.call(`q${index}`));
            await entry.untilOpen(calls.length);
            while (held.length < connections) {
                await new Promise(resolve => setImmediate(resolve));
            }
            held.forEach(limited);
            const statuses = (await Promise.all(calls)).map(({ status }) => status).sort();
            expect(only.arrivals.length).toEqual(connections);
            expect(statuses).toEqual([200, 200, 200, 200, 503, 503, 503, 503, 503, 503]);
        });

        it("and asks for permits of the one that it would have chosen", async () => {
            await start({ objectiveMs: 100 }, limited);
            await call(2);
            const [report] = entry.view.availability.rates.reports("1");
            expect([report.kind, report.upstream, report.kind === "limited" && report.wanted]).toEqual([
                "limited",
                "u0",
                1,
            ]);
        });

        it("until an answer names none any more", async () => {
            const [only] = await start(
                { objectiveMs: 100 },
                (arrival, count) => count === 1 ? limited(arrival) : good(arrival),
            );
            expect(await call(2)).toEqual([200, 503]);
            grant("u0", 1);
            expect(await call(3)).toEqual([200, 200, 200]);
            expect(only.arrivals.length).toEqual(4);
        });
    });

    describe("sends nothing to one that wants rest", () => {
        it("for so long, and the other serves, though more than half of them rest", async () => {
            const [a, b, c] = await start({ maxAttempts: 3 }, restFor(5), restFor(5), good);
            const statuses = await call(20);
            expect(statuses.filter(status => status !== 200)).toEqual([]);
            expect([a.arrivals.length <= 1, b.arrivals.length <= 1, c.arrivals.length]).toEqual([true, true, 20]);
        });

        it("but refuses at once where all do, with the end of the rest that ends first", async () => {
            const [a, b] = await start({ objectiveMs: 3000 }, restFor(20), restFor(10));
            await call(1);
            const startedAt = Date.now();
            const answer = await entry.call("q");
            expect(answer.status).toEqual(503);
            // It might have waited for a fifth of its objective otherwise.
            expect(Date.now() - startedAt).toBeLessThan(400);
            const seconds = Number(answer.headers["retry-after"]);
            expect(seconds > 9 && seconds < 13).toEqual(true);
            expect(a.arrivals.length + b.arrivals.length).toEqual(2);
        });

        it("and waits for the end of one that ends while a second try is in time", async () => {
            const [only] = await start(
                { objectiveMs: 3000 },
                (arrival, count) => count === 1 ? restFor(0.3)(arrival) : good(arrival),
            );
            expect((await entry.call("q1")).status).toEqual(503);
            expect((await entry.call("q2")).status).toEqual(200);
            expect(only.arrivals.length).toEqual(2);
        });

        it("and lets it in again by one request", async () => {
            const held: Arrival[] = [];
            const [only] = await start({ objectiveMs: 300, timeoutMs: 5000 }, (arrival, count) => {
                if (count === 1) {
                    restFor(0.2)(arrival);
                    return;
                }
                held.push(arrival);
            });
            await call(1);
            await new Promise(resolve => setTimeout(resolve, 220));
            const first = entry.call("first");
            while (held.length === 0) {
                await new Promise(resolve => setImmediate(resolve));
            }
            const others = await Promise.all(["b", "c", "d"].map(id => entry.call(id)));
            expect(others.map(({ status }) => status)).toEqual([503, 503, 503]);
            expect(only.arrivals.length).toEqual(2);
            good(held[0]);
            expect((await first).status).toEqual(200);
        });

        it("and takes no rest from an answer that asks for none it can read", async () => {
            const unreadable = ({ id, socket }: Arrival) =>
                socket.write(wholeAnswer(id, "no", `${declines}Retry-After: soon\r\n`, unavailable));
            const [only] = await start({}, (arrival, count) => count === 1 ? unreadable(arrival) : good(arrival));
            expect(await call(2)).toEqual([503, 200]);
            expect(only.arrivals.length).toEqual(2);
        });
    });
});
