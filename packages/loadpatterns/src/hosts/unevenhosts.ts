/** Load pattern: hosts of different processor shares, among which a load balancer spreads connections evenly. */
import { create } from "@bufbuild/protobuf";
import { HostCapacities, HostCapacitySchema, HostGrants, HostGrantSchema } from "@winchpath/fleet";
import { SimulatedClock } from "../simulatedclocks.js";
import { requestMs, SimulatedHost } from "./simulatedhosts.js";

/** Which mechanisms are in use. */
export interface HostMechanisms {
    /** Whether connections beyond a host's capacity are rejected. */
    readonly rejects: boolean;
    /** Whether overloaded hosts withdraw their readiness. */
    readonly withdraws: boolean;
}

export interface UnevenHostsResult {
    readonly calls: number;
    /** Share of the calls that were served within the objective. */
    readonly inTime: number;
    readonly rejectedFinally: number;
    /** Largest number of hosts that were withdrawn at a time. */
    readonly mostWithdrawn: number;
}

/** Processor shares of the hosts, all in one data centre. */
const shares = [0.184, 0.235, 0.286, 0.338, 0.389, 0.44, 0.491, 0.543, 0.594];
const objectiveMs = 600;
/** A caller that is rejected tries once more after this delay, in milliseconds. */
const retryMs = 100;
const durationMs = 20_000;
/** Time in which calls that are running at the end are served, in milliseconds. */
const drainMs = 3000;
const pollMs = 1000;
/** The load balancer checks readiness this often, and takes a host out after two failures. */
const checkMs = 1000;
const failedChecks = 2;
const leader = { leadershipAgeMs: 60_000, quorumAgeMs: 0 };

interface BalancedHost {
    readonly host: SimulatedHost;
    readonly grants: HostGrants;
    failures: number;
}

/** `load`: share of all hosts' processor time that the calls need. */
export async function runUnevenHosts(load: number, mechanisms: HostMechanisms): Promise<UnevenHostsResult> {
    const clock = SimulatedClock.install();
    try {
        return await new UnevenHosts(mechanisms).run(clock, load);
    }
    finally {
        clock.restore();
    }
}

class UnevenHosts {
    private readonly capacities = new HostCapacities();
    private readonly hosts: BalancedHost[];
    private next = 0;
    private calls = 0;
    private inTime = 0;
    private rejectedFinally = 0;
    private mostWithdrawn = 0;

    public constructor(private readonly mechanisms: HostMechanisms) {
        this.hosts = shares.map((share, index) => ({
            host: new SimulatedHost(`e${index}`, share, mechanisms.rejects, objectiveMs),
            grants: new HostGrants(),
            failures: 0,
        }));
    }

    public async run(clock: SimulatedClock, load: number): Promise<UnevenHostsResult> {
        const callsPerMs = load * shares.reduce((sum, share) => sum + share, 0) / requestMs;
        let due = 0;
        while (clock.now < durationMs + drainMs) {
            for (due += clock.now < durationMs ? callsPerMs : 0; due >= 1; due--) {
                this.calls += 1;
                this.call(Date.now(), false);
            }
            this.hosts.forEach(({ host }) => host.run());
            if (clock.now % pollMs === 0) {
                this.pollLeader();
            }
            if (clock.now % checkMs === 0) {
                this.checkReadiness();
            }
            await clock.advance(1);
        }
        return {
            calls: this.calls,
            inTime: this.inTime / this.calls,
            rejectedFinally: this.rejectedFinally / this.calls,
            mostWithdrawn: this.mostWithdrawn,
        };
    }

    private call(startedAt: number, isRetry: boolean): void {
        this.nextHost().connect({
            startedAt,
            onEnd: isServed => {
                if (isServed) {
                    this.inTime += Date.now() - startedAt <= objectiveMs ? 1 : 0;
                }
                else if (isRetry) {
                    this.rejectedFinally += 1;
                }
                else {
                    setTimeout(() => this.call(startedAt, true), retryMs);
                }
            },
        });
    }

    /** Round robin over the hosts that the load balancer takes for ready. */
    private nextHost(): SimulatedHost {
        for (;;) {
            const { host, failures } = this.hosts[this.next++ % this.hosts.length];
            if (failures < failedChecks) {
                return host;
            }
        }
    }

    private pollLeader(): void {
        for (const { host, grants } of this.hosts) {
            const { load, wantsRelief } = host.load;
            const report = { processorShare: host.share, load, wantsRelief, ready: true };
            const capacity = create(HostCapacitySchema, report);
            this.capacities.record({ entry: host.name, dataCentre: "d", capacity });
            const grant = this.capacities.grantFor(host.name, leader);
            grants.apply(grant === undefined ? undefined : create(HostGrantSchema, grant), Date.now(), true);
        }
    }

    private checkReadiness(): void {
        for (const each of this.hosts) {
            const isWithdrawn = this.mechanisms.withdraws && each.grants.mayWithdraw && each.host.load.wantsRelief;
            each.failures = isWithdrawn ? each.failures + 1 : 0;
        }
        const withdrawn = this.hosts.filter(({ failures }) => failures > 0).length;
        this.mostWithdrawn = Math.max(this.mostWithdrawn, withdrawn);
    }
}
