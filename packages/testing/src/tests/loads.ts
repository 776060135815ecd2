/** A deployment with callers behind a balancer, and what a planned stop must not do to them. */
import { sleep } from "@winchpath/core";
import { expect } from "earl";
import { book, type BookingAnswer, chat, type ChatAnswer, Deployment, type EntryHost } from "../index.js";

/** Well after a leaver was told to go, in milliseconds: no new work may reach it any more. */
export const noNewWorkMs = 3000;
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
export class Load {
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

/** Three entries, three engines and two copies of a service, with everything ready. */
export async function startLeavable(): Promise<Deployment> {
    const deployment = await Deployment.start({
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
    return deployment;
}

/** All answers came whole, and there were some. */
export function expectNothingCutOff(load: Load): void {
    const failures = [
        ...load.chats.filter(({ whole }) => !whole),
        ...load.bookings.filter(({ status }) => status !== 200),
    ];
    expect(failures).toEqual([]);
    expect(load.cuts).toEqual([]);
    expect(load.chats.length > 20).toEqual(true);
}
