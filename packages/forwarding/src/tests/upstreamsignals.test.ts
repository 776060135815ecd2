import { steadyNow } from "@winchpath/core";
import { type Route } from "@winchpath/declarations";
import { UpstreamState } from "@winchpath/fleet";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { completeResponse, type RawUpstream, type ReceivedRequest, type TestEntry, TestSetup } from "./testservers.js";

describe("an entry that receives availability signals", () => {
    let setup: TestSetup;
    let entry: TestEntry;

    afterEach(() => setup.stop());

    async function start(
        route: Partial<Route>,
        ...handlers: ((received: ReceivedRequest, count: number) => void)[]
    ): Promise<readonly RawUpstream[]> {
        setup = await TestSetup.start(route, handlers);
        entry = setup.entry;
        return setup.upstreams;
    }

    const respondOk = ({ id, socket }: ReceivedRequest) => socket.write(completeResponse(id, "hello"));
    /** The entry's minimum number of connections to an upstream. */
    const connections = 4;
    const leaving = "X-Leaving: 1\r\n";
    const notRun = "X-Not-Run: 1\r\n";
    const unavailable = "503 Service Unavailable";

    function backOffFor(seconds: number) {
        return ({ id, socket }: ReceivedRequest) =>
            socket.write(completeResponse(id, "no", `${notRun}Retry-After: ${seconds}\r\n`, unavailable));
    }

    /** Sends requests one after the other and returns their statuses. */
    async function call(count: number): Promise<number[]> {
        const statuses: number[] = [];
        for (let index = 0; index < count; index++) {
            statuses.push((await entry.call(`q${index}`)).status);
        }
        return statuses;
    }

    describe("sends no new requests to an upstream that announces its shutdown", () => {
        for (
            const [what, handler] of [
                ["a success", ({ id, socket }: ReceivedRequest) => socket.write(completeResponse(id, "bye", leaving))],
                [
                    "a failure",
                    ({ id, socket }: ReceivedRequest) => socket.write(completeResponse(id, "", leaving, "500 Error")),
                ],
                [
                    "a 421",
                    ({ id, socket }: ReceivedRequest) =>
                        socket.write(completeResponse(id, "", leaving, "421 Misdirected")),
                ],
                [
                    "a 503",
                    ({ id, socket }: ReceivedRequest) =>
                        socket.write(completeResponse(id, "", leaving + notRun, unavailable)),
                ],
                [
                    "a response to another request",
                    ({ socket }: ReceivedRequest) => socket.write(completeResponse("other", "", leaving)),
                ],
                [
                    "a truncated response",
                    ({ id, socket }: ReceivedRequest) =>
                        socket.end(
                            `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\n${leaving}Content-Length: 9\r\n\r\nab`,
                        ),
                ],
            ] as const
        ) {
            it(`in ${what}`, async () => {
                const [stoppingUpstream, other] = await start({}, handler, respondOk);
                while (stoppingUpstream.received.length === 0) {
                    await call(1);
                }
                const before = other.received.length;
                expect(await call(5)).toEqual([200, 200, 200, 200, 200]);
                expect([stoppingUpstream.received.length, other.received.length]).toEqual([1, before + 5]);
            });
        }

        it("even if the leader reports it as ready, until it restarts", async () => {
            const [stoppingUpstream] = await start(
                {},
                (received, count) => count > 1 ? respondOk(received) : respondLeaving(received),
            );
            expect(await call(1)).toEqual([200]);
            const { address } = stoppingUpstream;
            entry.setUpstreams({ id: "u0", address, state: UpstreamState.READY, slots: 9 });
            expect(await call(1)).toEqual([503]);
            entry.setUpstreams({ id: "u0@2", name: "u0", born: 2n, address });
            expect(await call(1)).toEqual([200]);
            expect(stoppingUpstream.received.length).toEqual(2);
        });

        it("but lets running requests finish and closes idle connections", async () => {
            let finish = () => {};
            const [only] = await start({ timeoutMs: 5000 }, (received, count) => {
                if (count === 1) {
                    finish = () => void respondOk(received);
                    return;
                }
                respondLeaving(received);
            });
            const running = entry.call("slow");
            await entry.waitForActiveRequests(1);
            while (only.received.length === 0) {
                await new Promise(resolve => setImmediate(resolve));
            }
            expect((await entry.call("quick")).status).toEqual(200);
            const quick = only.received[1].socket;
            while (!quick.destroyed && !quick.readableEnded) {
                await new Promise(resolve => setImmediate(resolve));
            }
            finish();
            expect((await running).status).toEqual(200);
        });

        it("including requests that already wait for a connection to it", async () => {
            const pending: ReceivedRequest[] = [];
            setup = await TestSetup.start({ timeoutMs: 2000 }, [received => pending.push(received)], connections);
            entry = setup.entry;
            const [only] = setup.upstreams;
            const calls = Array.from({ length: 10 }, (_, index) => entry.call(`q${index}`));
            await entry.waitForActiveRequests(calls.length);
            while (pending.length < connections) {
                await new Promise(resolve => setImmediate(resolve));
            }
            pending.forEach((received, index) => index === 0 ? respondLeaving(received) : respondOk(received));
            const statuses = (await Promise.all(calls)).map(({ status }) => status).sort();
            expect(only.received.length).toEqual(connections);
            expect(statuses).toEqual([200, 200, 200, 200, 503, 503, 503, 503, 503, 503]);
        });
    });

    function respondLeaving({ id, socket }: ReceivedRequest): void {
        socket.write(completeResponse(id, "bye", leaving));
    }

    describe("sends requests to a rate-limited upstream only with a permit", () => {
        const limited = ({ id, socket }: ReceivedRequest) =>
            socket.write(completeResponse(id, "hello", "X-Limit: 1\r\n"));

        /** Grants permits in place of the leader. */
        function grant(upstream: string, permits: number): void {
            const grants = [{ upstream, permits, lifted: false, lifeMs: 10_000, dryMs: 0 }];
            entry.view.availability.rates.applyGrants([], grants, { epoch: "1", askedAt: steadyNow() });
        }

        it("and uses another upstream instead", async () => {
            const [a, b] = await start({}, limited, respondOk);
            await call(1);
            while (a.received.length === 0) {
                await call(1);
            }
            const before = b.received.length;
            expect(await call(5)).toEqual([200, 200, 200, 200, 200]);
            expect([a.received.length, b.received.length]).toEqual([1, before + 5]);
        });

        it("and rejects requests with Retry-After if all upstreams are limited, until a permit is granted", async () => {
            const [a, b] = await start({ objectiveMs: 100 }, limited, limited);
            expect(await call(2)).toEqual([200, 200]);
            const refused = await entry.call("q");
            expect([refused.status, refused.body.includes("limited")]).toEqual([503, true]);
            expect(Number(refused.headers["retry-after"])).toBeGreaterThan(0);
            grant("u0", 1);
            expect(await call(2)).toEqual([200, 503]);
            expect([a.received.length, b.received.length]).toEqual([2, 1]);
        });

        it("including requests that already wait for a connection to it", async () => {
            const pending: ReceivedRequest[] = [];
            setup = await TestSetup.start({ timeoutMs: 2000 }, [received => pending.push(received)], connections);
            entry = setup.entry;
            const [only] = setup.upstreams;
            const calls = Array.from({ length: 10 }, (_, index) => entry.call(`q${index}`));
            await entry.waitForActiveRequests(calls.length);
            while (pending.length < connections) {
                await new Promise(resolve => setImmediate(resolve));
            }
            pending.forEach(limited);
            const statuses = (await Promise.all(calls)).map(({ status }) => status).sort();
            expect(only.received.length).toEqual(connections);
            expect(statuses).toEqual([200, 200, 200, 200, 503, 503, 503, 503, 503, 503]);
        });

        it("and requests permits for the preferred upstream", async () => {
            await start({ objectiveMs: 100 }, limited);
            await call(2);
            const [report] = entry.view.availability.rates.createReports("1");
            expect([report.kind, report.upstream, report.kind === "limited" && report.wanted]).toEqual([
                "limited",
                "u0",
                1,
            ]);
        });

        it("until a response no longer sets a limit", async () => {
            const [only] = await start(
                { objectiveMs: 100 },
                (received, count) => count === 1 ? limited(received) : respondOk(received),
            );
            expect(await call(2)).toEqual([200, 503]);
            grant("u0", 1);
            expect(await call(3)).toEqual([200, 200, 200]);
            expect(only.received.length).toEqual(4);
        });
    });

    describe("sends nothing to an upstream that requests a back-off", () => {
        it("and uses the others, even if most upstreams back off", async () => {
            const [a, b, c] = await start({ maxAttempts: 3 }, backOffFor(5), backOffFor(5), respondOk);
            const statuses = await call(20);
            expect(statuses.filter(status => status !== 200)).toEqual([]);
            expect([a.received.length <= 1, b.received.length <= 1, c.received.length]).toEqual([true, true, 20]);
        });

        it("and rejects requests at once if all do, with the earliest end as Retry-After", async () => {
            const [a, b] = await start({ objectiveMs: 3000 }, backOffFor(20), backOffFor(10));
            await call(1);
            const startedAt = Date.now();
            const response = await entry.call("q");
            expect(response.status).toEqual(503);
            // Without a back-off the request would wait for a fifth of its objective.
            expect(Date.now() - startedAt).toBeLessThan(400);
            const seconds = Number(response.headers["retry-after"]);
            expect(seconds > 9 && seconds < 13).toEqual(true);
            expect(a.received.length + b.received.length).toEqual(2);
        });

        it("but waits for the end of a back-off that is short enough", async () => {
            const [only] = await start(
                { objectiveMs: 3000 },
                (received, count) => count === 1 ? backOffFor(0.3)(received) : respondOk(received),
            );
            expect((await entry.call("q1")).status).toEqual(503);
            expect((await entry.call("q2")).status).toEqual(200);
            expect(only.received.length).toEqual(2);
        });

        it("and sends a single request first when the back-off ends", async () => {
            const pending: ReceivedRequest[] = [];
            const [only] = await start({ objectiveMs: 300, timeoutMs: 5000 }, (received, count) => {
                if (count === 1) {
                    backOffFor(0.2)(received);
                    return;
                }
                pending.push(received);
            });
            await call(1);
            await new Promise(resolve => setTimeout(resolve, 220));
            const first = entry.call("first");
            while (pending.length === 0) {
                await new Promise(resolve => setImmediate(resolve));
            }
            const others = await Promise.all(["b", "c", "d"].map(id => entry.call(id)));
            expect(others.map(({ status }) => status)).toEqual([503, 503, 503]);
            expect(only.received.length).toEqual(2);
            respondOk(pending[0]);
            expect((await first).status).toEqual(200);
        });

        it("and ignores an invalid Retry-After", async () => {
            const unreadable = ({ id, socket }: ReceivedRequest) =>
                socket.write(completeResponse(id, "no", `${notRun}Retry-After: soon\r\n`, unavailable));
            const [only] = await start(
                {},
                (received, count) => count === 1 ? unreadable(received) : respondOk(received),
            );
            expect(await call(2)).toEqual([503, 200]);
            expect(only.received.length).toEqual(2);
        });
    });
});
