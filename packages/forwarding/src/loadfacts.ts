/** What an entry has observed about load and hosts, on which features depend. */
import { type FeatureFacts } from "@winchpath/declarations";
import { LongPromptTracker } from "@winchpath/engineload";
import { type HostGrants } from "@winchpath/fleet";

export class LoadFacts implements FeatureFacts {
    private readonly longPrompts = new LongPromptTracker();
    private readonly paceServices = new Set<string>();

    /** `isCapacityContended`: from the settings of this process; `hosts`: what the leader has told about hosts. */
    public constructor(
        public readonly isCapacityContended: boolean,
        private readonly hosts: Pick<HostGrants, "ratio">,
    ) {}

    public get hostRatio(): number {
        return this.hosts.ratio;
    }

    public get longPromptServices(): ReadonlySet<string> {
        return this.longPrompts.services;
    }

    public get reportedPaceServices(): ReadonlySet<string> {
        return this.paceServices;
    }

    /** Records the prompt size of a request; returns whether that changed the facts. */
    public recordPrompt(service: string, promptTokens: number): boolean {
        const before = this.longPrompts.services.size;
        this.longPrompts.record(service, promptTokens);
        return this.longPrompts.services.size > before;
    }

    /** Records that an upstream of the service reports its pace; returns whether that changed the facts. */
    public recordReportedPace(service: string): boolean {
        const before = this.paceServices.size;
        this.paceServices.add(service);
        return this.paceServices.size > before;
    }
}
