/** Background traffic and assertions for the tests of graceful shutdown. */
import { sleep } from "@winchpath/core";
import { expect } from "earl";
import { type BookingResult, type ChatResult, createBooking, Deployment, type EntryHost, sendChat } from "../index.js";

/** How long after a stop or drain was requested an upstream may still receive new requests, in milliseconds. */
export const maxDrainDelayMs = 3000;
const manifests = `
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

/** Callers behind a load balancer: each request goes to the next entry whose readiness check passes. */
export class TrafficGenerator {
    public readonly chats: ChatResult[] = [];
    public readonly bookings: BookingResult[] = [];
    /** Requests that failed without a response. */
    public readonly connectionErrors: string[] = [];
    private isStopped = false;
    private readonly tasks: Promise<void>[];
    private nextEntryIndex = 0;

    public constructor(private readonly deployment: Deployment, callers: number) {
        this.tasks = Array.from({ length: callers }, (_, caller) => this.runCaller(caller));
    }

    /** Waits until `count` more chats have ended. */
    public async waitForChats(count: number): Promise<void> {
        const target = this.chats.length + count;
        while (this.chats.length < target) {
            await sleep(20);
        }
    }

    /** Keeps the traffic running until two seconds after the stopping upstream must receive no new requests. */
    public async runPastDrainDelay(stopRequestedAt: number): Promise<void> {
        while (Date.now() < stopRequestedAt + maxDrainDelayMs + 2000) {
            await this.waitForChats(5);
        }
    }

    public async stop(): Promise<void> {
        this.isStopped = true;
        await Promise.all(this.tasks);
    }

    private async runCaller(caller: number): Promise<void> {
        for (let number = 0; !this.isStopped; number++) {
            const entry = await this.pickReadyEntry();
            if (entry === undefined) {
                return;
            }
            const id = `${caller}-${number}`;
            try {
                await this.sendRequest(entry, caller, id);
            }
            catch (err) {
                this.connectionErrors.push(`${id} at ${entry.name} at ${new Date().toISOString()}: ${String(err)}`);
            }
        }
    }

    private async sendRequest(entry: EntryHost, caller: number, id: string): Promise<void> {
        if (caller % 3 === 0) {
            this.bookings.push(await createBooking(entry.callersUrl, id, id, 30));
        }
        else {
            this.chats.push(await sendChat(entry.callersUrl, `m${caller % 2}`, `q${id}`, { tokens: 40 }));
        }
    }

    /** Returns undefined once the traffic is stopped. */
    private async pickReadyEntry(): Promise<EntryHost | undefined> {
        while (!this.isStopped) {
            const entry = this.deployment.entries[this.nextEntryIndex++ % this.deployment.entries.length];
            const res = await fetch(`${entry.operatorsUrl}/readyz`).catch(() => undefined);
            if (res?.ok) {
                return entry;
            }
            await sleep(20);
        }
        return undefined;
    }
}

/** Starts three entries, three engines and two instances of a service, and waits until all are ready. */
export async function startRedundantDeployment(): Promise<Deployment> {
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
    await deployment.applyManifests(manifests);
    await deployment.waitUntilReady();
    return deployment;
}

/** Checks that every request succeeded, and that there was enough traffic. */
export function expectNoFailedRequests(traffic: TrafficGenerator): void {
    const failures = [
        ...traffic.chats.filter(({ isComplete }) => !isComplete),
        ...traffic.bookings.filter(({ status }) => status !== 200),
    ];
    expect(failures).toEqual([]);
    expect(traffic.connectionErrors).toEqual([]);
    expect(traffic.chats.length > 20).toEqual(true);
}
