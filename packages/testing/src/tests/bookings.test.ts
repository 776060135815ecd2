import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { type BookingResult, createBooking, Deployment, type ServiceStats } from "../index.js";

const services = ["booking-1", "booking-2"];

describe("a booking", () => {
    let deployment: Deployment;
    beforeEach(async () => {
        deployment = await Deployment.start({
            dataCentres: ["plateau", "pikine", "rufisque"],
            engines: [],
            services: services.map(name => ({ name, dataCentre: "plateau", service: "booking-api" })),
        });
        await deployment.applyManifests("[[service]]\nname = \"booking-api\"\n");
        await deployment.waitUntilReady();
    });
    afterEach(() => deployment.stop());

    async function countRuns(booking: string): Promise<number> {
        const stats = await Promise.all(services.map(name => deployment.fetchStats<ServiceStats>(name)));
        return stats.reduce((sum, { bookings }) => sum + (bookings[booking] ?? 0), 0);
    }

    /** Checks the outcomes that callers received against the number of executions. */
    async function expectCorrectOutcomes(booking: string, answers: readonly BookingResult[]): Promise<void> {
        const count = await countRuns(booking);
        expect(count <= 1).toEqual(true);
        for (const { status, body } of answers) {
            if (status === 200) {
                expect(count).toEqual(1);
                expect(body["booking"]).toEqual(booking);
            }
            else if (body["outcome"] === "ran") {
                expect(count).toEqual(1);
            }
            else if (body["outcome"] === "not-run") {
                expect(count).toEqual(0);
            }
        }
    }

    /** Polls both services until one has started the booking; returns its name. */
    async function waitForRunningUpstream(booking: string): Promise<string> {
        for (;;) {
            for (const name of services) {
                const { bookings } = await deployment.fetchStats<ServiceStats>(name);
                if (bookings[booking] !== undefined) {
                    return name;
                }
            }
        }
    }

    function bookThroughAllEntries(booking: string, key: string, delayMs = 0): Promise<BookingResult[]> {
        return Promise.all(deployment.entries.map(entry => createBooking(entry.callersUrl, booking, key, delayMs)));
    }

    it("runs once and succeeds for every caller when all entries receive the same key concurrently", async () => {
        const names = Array.from({ length: 20 }, (_, index) => `b${index}`);
        await Promise.all(names.map(async name => {
            const answers = await bookThroughAllEntries(name, name, 20);
            expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
            expect(await countRuns(name)).toEqual(1);
        }));
    });

    for (const key of ["a key", undefined]) {
        it(`with ${key ?? "no key"} has an unknown outcome and never runs again when its agent is killed during execution`, async () => {
            const pending = createBooking(deployment.entries[0].callersUrl, "x", key, 3000);
            const name = await waitForRunningUpstream("x");
            await deployment.upstream(name).agent.kill();
            const answer = await pending;
            expect(answer.body["outcome"]).toEqual("unknown");
            const whileDown = key === undefined ? [] : await bookThroughAllEntries("x", key);
            await deployment.restartAgent(deployment.upstream(name));
            const afterRestart = key === undefined ? [] : await bookThroughAllEntries("x", key);
            expect([...whileDown, ...afterRestart].every(({ status }) => status !== 200)).toEqual(true);
            expect(await countRuns("x")).toEqual(1);
        });
    }

    it("runs at most once while agents are suspended, and the reported outcomes are correct after they resume", async () => {
        const results = new Map<string, BookingResult[]>();
        const agents = services.map(name => deployment.upstream(name).agent);
        for (const agent of agents) {
            const names = Array.from({ length: 12 }, (_, index) => `${agent.name}-${index}`);
            agent.signal("SIGSTOP");
            const requests = names.map(async (name, index) => {
                const answers = index % 2 === 0
                    ? await bookThroughAllEntries(name, name)
                    : [await createBooking(deployment.entries[index % 3].callersUrl, name)];
                results.set(name, answers);
            });
            await Promise.all(requests);
            agent.signal("SIGCONT");
            await deployment.waitUntilReady();
        }
        // Once these bookings are answered, the agents have read what was queued in their sockets while suspended.
        await Promise.all(
            deployment.entries.flatMap(entry =>
                Array.from({ length: 8 }, (_, index) => createBooking(entry.callersUrl, `after-${entry.name}-${index}`))
            ),
        );
        for (const [name, answers] of results) {
            await expectCorrectOutcomes(name, answers);
        }
        const statuses = [...results.values()].flat().map(({ status }) => status);
        expect(statuses.includes(200)).toEqual(true);
    });

    it("survives a crash of the entry that claimed it: another entry returns its response", async () => {
        const [first, second] = deployment.entries;
        const failedBooking = createBooking(first.callersUrl, "x", "k", 1500).catch(() => undefined);
        await waitForRunningUpstream("x");
        await first.process.kill();
        expect(await failedBooking).toEqual(undefined);
        const answer = await createBooking(second.callersUrl, "x", "k", 1500);
        expect(answer.status).toEqual(200);
        await expectCorrectOutcomes("x", [answer]);
    });

    it("stores its response with the claim, and returns it to duplicates after the agent has restarted", async () => {
        const first = await createBooking(deployment.entries[0].callersUrl, "x", "k");
        expect(first.status).toEqual(200);
        await Promise.all(services.map(async name => {
            await deployment.upstream(name).agent.kill();
            await deployment.restartAgent(deployment.upstream(name));
        }));
        const duplicates = await bookThroughAllEntries("x", "k");
        expect(duplicates.map(({ body }) => body)).toEqual([first.body, first.body, first.body]);
    });

    it("is rejected as not-run, with Retry-After, while no service is available", async () => {
        await Promise.all(services.map(name => deployment.upstream(name).agent.stop()));
        await deployment.waitForStatus("no service upstreams", status => status.services[0].upstreams === 0);
        const headers = { "content-type": "application/json", "winchpath-timeout-ms": "300", "idempotency-key": "k" };
        const res = await fetch(`${deployment.entries[0].callersUrl}/services/booking-api/bookings`, {
            method: "POST",
            headers,
            body: JSON.stringify({ booking: "x" }),
        });
        const body = await res.json() as { outcome: string; };
        expect([res.status, body.outcome]).toEqual([503, "not-run"]);
        expect(Number(res.headers.get("retry-after")) >= 1).toEqual(true);
        expect(await countRuns("x")).toEqual(0);
    });
});
