import { Deferred, sleep } from "@winchpath/core";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import {
    book,
    type BookingAnswer,
    chat,
    type ChatAnswer,
    Deployment,
    type EngineFacts,
    type EntryHost,
    type ServiceFacts,
} from "../index.js";

const noNewWorkMs = 3000;
const declarations = `
[[model]]
name = "m0"
version = "1"
memory = "2 GiB"
minReplicas = 2

[[model]]
name = "m1"
version = "1"
memory = "2 GiB"

[[service]]
name = "booking-api"
`;

/** Callers behind a balancer: each goes to an entry that says it is ready, and keeps no connection. */
class Load {
    public readonly chats: ChatAnswer[] = [];
    public readonly bookings: BookingAnswer[] = [];
    /** Connections that were cut. */
    public readonly cuts: string[] = [];
    private stopped = false;
    private readonly tasks: Promise<void>[];
    private turn = 0;

    public constructor(private readonly deployment: Deployment, callers: number) {
        this.tasks = Array.from({ length: callers }, (_, caller) => this.run(caller));
    }

    /** Returns after so many more chats have ended. */
    public async more(count: number): Promise<void> {
        const goal = this.chats.length + count;
        while (this.chats.length < goal) {
            await sleep(20);
        }
    }

    /** Goes on until well after the time at which no new work may reach a leaver. */
    public async goOnAfter(toldAt: number): Promise<void> {
        while (Date.now() < toldAt + noNewWorkMs + 2000) {
            await this.more(5);
        }
    }

    public async stop(): Promise<void> {
        this.stopped = true;
        await Promise.all(this.tasks);
    }

    private async run(caller: number): Promise<void> {
        for (let number = 0; !this.stopped; number++) {
            const entry = await this.readyEntry();
            const id = `${caller}-${number}`;
            try {
                await this.ask(entry, caller, id);
            }
            catch (err) {
                this.cuts.push(`${id} at ${entry.name} at ${new Date().toISOString()}: ${String(err)}`);
            }
        }
    }

    private async ask(entry: EntryHost, caller: number, id: string): Promise<void> {
        if (caller % 3 === 0) {
            this.bookings.push(await book(entry.callers, id, id, 30));
        }
        else {
            this.chats.push(await chat(entry.callers, `m${caller % 2}`, `q${id}`, { tokens: 40 }));
        }
    }

    private async readyEntry(): Promise<EntryHost> {
        for (;;) {
            const entry = this.deployment.entries[this.turn++ % this.deployment.entries.length];
            const res = await fetch(`${entry.operators}/readyz`).catch(() => undefined);
            if (res?.ok) {
                return entry;
            }
            await sleep(20);
        }
    }
}

describe("a planned stop", () => {
    let deployment: Deployment;
    let load: Load | undefined;
    afterEach(async () => {
        await load?.stop();
        await deployment.stop();
    });

    async function start(): Promise<void> {
        deployment = await Deployment.start({
            dataCentres: ["plateau", "pikine", "rufisque"],
            engines: ["e0", "e1", "e2"].map(name => ({
                name,
                dataCentre: "plateau",
                memory: "8 GiB",
                options: { tokenMs: 5 },
            })),
            services: ["s0", "s1"].map(name => ({ name, dataCentre: "plateau", service: "booking-api" })),
            entrySettings: "[placement]\nstoreRate = 10",
        });
        await deployment.declare(declarations);
        await deployment.untilReady();
    }

    function expectNothingCutOff(load: Load): void {
        const failures = [
            ...load.chats.filter(({ whole }) => !whole),
            ...load.bookings.filter(({ status }) => status !== 200),
        ];
        expect(failures).toEqual([]);
        expect(load.cuts).toEqual([]);
        expect(load.chats.length > 20).toEqual(true);
    }

    /** A chat of over three seconds, once its first token has come. */
    async function begunChat(entry: EntryHost): Promise<{ answer: Promise<ChatAnswer>; }> {
        const begun = new Deferred<void>();
        const answer = chat(entry.callers, "m0", `long at ${entry.name}`, {
            tokens: 700,
            onToken: () => begun.resolve(),
        });
        await begun.promise;
        return { answer };
    }

    it("of an agent cuts nothing off, and brings it no new work after seconds, also for what lived only there", async () => {
        await start();
        load = new Load(deployment, 6);
        const host = (await deployment.untilReady()).models.find(model => model.name === "m1")!.readyAt[0];
        const leaver = deployment.upstream(host);
        const toldAt = Date.now();
        const code = await leaver.agent.stop();
        expect(code).toEqual(0);
        await deployment.untilStatus(
            "with m1 elsewhere",
            status =>
                status.models.some(({ name, condition, readyAt }) =>
                    name === "m1" && condition === "ready" && !readyAt.includes(host)
                ),
        );
        await load.goOnAfter(toldAt);
        await load.stop();
        expectNothingCutOff(load);
        const { lastStartedAt } = await deployment.facts<EngineFacts>(host);
        expect(lastStartedAt - toldAt < noNewWorkMs).toEqual(true);
    });

    it("by a drain moves everything off, and brings no new work after seconds", async () => {
        await start();
        load = new Load(deployment, 6);
        const host = (await deployment.untilReady()).models.find(model => model.name === "m1")!.readyAt[0];
        const { items: none } = await deployment.client.list("Drain");
        expect(none).toEqual([]);
        const toldAt = Date.now();
        await deployment.client.change({
            changeId: "drain",
            operator: "awa",
            items: [{ op: "put", kind: "Drain", name: host, baseVersion: 0, spec: { reason: "new cards" } }],
        }, false);
        await deployment.untilStatus(
            "with all models elsewhere",
            status =>
                status.models.every(({ readyAt, wantedReplicas }) =>
                    readyAt.filter(name => name !== host).length >= wantedReplicas
                ),
        );
        await load.goOnAfter(toldAt);
        await load.stop();
        expectNothingCutOff(load);
        const { lastStartedAt } = await deployment.facts<EngineFacts>(host);
        expect(lastStartedAt - toldAt < noNewWorkMs).toEqual(true);
    });

    it("of every process, one after the other, under load, cuts nothing off", async () => {
        await start();
        load = new Load(deployment, 6);
        for (const entry of deployment.entries) {
            const long = await begunChat(entry);
            expect(await entry.process.stop()).toEqual(0);
            expect((await long.answer).whole).toEqual(true);
            await deployment.restartEntry(entry);
        }
        for (const upstream of deployment.upstreams) {
            const long = [0, 1, 2].map(number =>
                book(deployment.entries[number].callers, `long-${upstream.name}-${number}`, undefined, 2500)
            );
            expect(await upstream.agent.stop()).toEqual(0);
            expect((await Promise.all(long)).map(({ status }) => status)).toEqual([200, 200, 200]);
            await deployment.restartAgent(upstream);
            await deployment.untilReady();
        }
        await load.stop();
        expectNothingCutOff(load);
        const facts = await Promise.all(["s0", "s1"].map(name => deployment.facts<ServiceFacts>(name)));
        const counts = facts.flatMap(({ bookings }) => Object.values(bookings));
        expect(counts.every(count => count === 1)).toEqual(true);
    });
});
