/**
 * All short histories of one upstream, one entry and successive leaders, and random longer ones. Guards against departures
 * that are acknowledged and leave no trace: entries went on sending to an upstream after its departure was acknowledged by
 * a leader that had not heard of it.
 */
import { create } from "@bufbuild/protobuf";
import { silentLog } from "@winchpath/core";
import { expect } from "earl";
import { array, assert, constantFrom, property } from "fast-check";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { PollResponseSchema } from "../gen/winchpath/fleet/v1/fleet_pb.js";
import {
    DepartureState,
    encodeDeparture,
    encodeDepartures,
    encodeUpstream,
    FleetView,
    incarnationId,
    Registry,
    UpstreamState,
} from "../index.js";
import { createAnnouncement } from "./fixtures.js";

/** How the upstream identifies its runs. */
interface Identity {
    /** Whether announcements have a start time. */
    readonly hasStart: boolean;
    /** Whether departures have one. */
    readonly leavesWithStart: boolean;
}

const identities: readonly Identity[] = [
    { hasStart: true, leavesWithStart: true },
    { hasStart: true, leavesWithStart: false },
    { hasStart: false, leavesWithStart: false },
];

const steps = ["announce", "drain", "leave", "late", "poll", "elect", "restart"] as const;
type Step = typeof steps[number];

const announceIntervalMs = 1200;
const exhaustiveLength = 5;

/** Runs of one upstream under successive leaders, as one entry sees them. */
class World {
    private readonly log = new DepartureState();
    private readonly view = new FleetView(() => undefined, silentLog);
    private registry = new Registry(silentLog);
    private term = 0;
    private polledTerm = 0;
    private position = -1;
    private run = 1;
    private sequence = 0;
    private isDraining = false;
    private hasLeft = false;
    /** Runs whose departures were acknowledged. */
    private readonly acknowledged = new Set<number>();
    /** Announcements of the current run that the current leader has received. */
    private announcements = 0;

    public constructor(private readonly identity: Identity) {
        this.elect();
        this.announce();
        this.poll();
    }

    /** Performs a step. Returns a description of what is wrong after it, if anything. */
    public perform(step: Step): string | undefined {
        this[step]();
        return this.violation();
    }

    private announce(): void {
        if (this.hasLeft) {
            return;
        }
        mock.timers.tick(announceIntervalMs);
        this.sequence += 1;
        this.tell(this.run, this.sequence, this.isDraining);
        this.announcements += 1;
    }

    private drain(): void {
        if (this.hasLeft) {
            return;
        }
        this.isDraining = true;
        this.sequence += 1;
        const announcement = this.tell(this.run, this.sequence, true);
        this.commitAndAcknowledge([this.registry.departureOf(announcement.upstream!)]);
    }

    private leave(): void {
        if (this.hasLeft) {
            return;
        }
        this.hasLeft = true;
        const { departure } = this.registry.leave("u", this.identity.leavesWithStart ? this.born(this.run) : 0n);
        this.commitAndAcknowledge([departure]);
    }

    /** An announcement of the current run that was sent before it departed arrives late. */
    private late(): void {
        this.tell(this.run, Math.max(3, this.sequence), false);
    }

    private poll(): void {
        const isNew = this.polledTerm !== this.term;
        const changes = this.registry.changesSince(isNew ? -1 : this.position);
        this.view.apply(create(PollResponseSchema, {
            epoch: `${this.term}/x`,
            term: BigInt(this.term),
            position: BigInt(changes.position),
            changed: changes.changed.map(encodeUpstream),
            removed: [...changes.removed],
            left: [...changes.departed],
            departures: changes.departures.map(encodeDeparture),
        }));
        this.position = changes.position;
        this.polledTerm = this.term;
    }

    private elect(): void {
        this.term += 1;
        this.registry = new Registry(silentLog);
        this.registry.clear({ term: this.term, departures: this.log.all() });
        this.announcements = 0;
    }

    /** The upstream starts again under its name; it does that under another name if it has no start time. */
    private restart(): void {
        if (!this.identity.hasStart) {
            return;
        }
        this.run += 1;
        this.sequence = 0;
        this.isDraining = false;
        this.hasLeft = false;
        this.announcements = 0;
        this.announce();
    }

    private tell(run: number, sequence: number, isDraining: boolean) {
        const announcement = createAnnouncement(this.id(run), sequence, {
            name: "u",
            born: this.born(run),
            softwareVersion: "v1",
            address: "10.0.0.1:1",
            state: isDraining ? UpstreamState.DRAINING : UpstreamState.READY,
        });
        this.registry.announce(announcement);
        return announcement;
    }

    private commitAndAcknowledge(departures: Parameters<typeof encodeDepartures>[0]): void {
        this.log.apply(encodeDepartures(departures), { term: this.term, time: Date.now() });
        this.acknowledged.add(this.run);
    }

    private violation(): string | undefined {
        if (this.polledTerm !== this.term || this.position !== this.registry.position) {
            // The entry hasn't heard what this leader knows.
            return undefined;
        }
        const sent = [...this.acknowledged].find(run => this.maySend(run));
        if (sent !== undefined) {
            return `run ${sent} gets requests after its departure was acknowledged`;
        }
        // A leader that knows neither the run nor whether it is the departed one accepts it with its next announcement.
        const isServing = !this.isDraining && !this.hasLeft && this.announcements > 1;
        return isServing && !this.maySend(this.run) ? `run ${this.run} gets no requests` : undefined;
    }

    private maySend(run: number): boolean {
        const id = this.id(run);
        return this.view.get(id)?.state === UpstreamState.READY && !this.view.availability.isDraining(id);
    }

    private born(run: number): bigint {
        return this.identity.hasStart ? BigInt(run * 100) : 0n;
    }

    private id(run: number): string {
        return incarnationId({ name: "u", born: this.born(run), softwareVersion: "v1" });
    }
}

function findViolation(identity: Identity, history: readonly Step[]): string | undefined {
    const world = new World(identity);
    for (const [index, step] of history.entries()) {
        const violation = world.perform(step);
        if (violation !== undefined) {
            return `${history.slice(0, index + 1).join(", ")}: ${violation}`;
        }
    }
    return undefined;
}

describe("departures under successive leaders", () => {
    beforeEach(() => mock.timers.enable({ apis: ["Date"], now: 1_000_000 }));
    afterEach(() => mock.timers.reset());

    for (const identity of identities) {
        const { hasStart, leavesWithStart } = identity;
        const name = `start times in announcements: ${hasStart}, in departures: ${leavesWithStart}`;

        it(`are known to an entry that has heard the leader, in all short histories (${name})`, () => {
            const violations: string[] = [];
            const search = (history: readonly Step[]) => {
                for (const step of steps) {
                    const next = [...history, step];
                    const isLast = next.length === exhaustiveLength;
                    const violation = isLast ? findViolation(identity, [...next, "poll"]) : undefined;
                    violations.push(...violation === undefined ? [] : [violation]);
                    if (!isLast) {
                        search(next);
                    }
                }
            };
            search([]);
            expect(violations.slice(0, 5)).toEqual([]);
        });

        it(`are known in random histories (${name})`, () => {
            assert(
                property(array(constantFrom(...steps), { minLength: 6, maxLength: 16 }), history => {
                    expect(findViolation(identity, [...history, "poll"])).toEqual(undefined);
                }),
                { seed: 731, numRuns: 2000 },
            );
        });
    }
});
