/** The state that the control group of a platform deployment replicates. */
import { CompositeStateMachine, type StateMachine } from "@winchpath/consensus";
import { ConfigurationState } from "@winchpath/declarations";
import { DepartureState, SoftwareVersionState } from "@winchpath/fleet";
import { QuarantineState } from "@winchpath/quarantine";

/** Empty until a replica has applied its snapshot and log. */
export class ReplicatedState {
    public readonly documents = new ConfigurationState();
    public readonly quarantine = new QuarantineState();
    public readonly softwareVersions = new SoftwareVersionState();
    public readonly departures = new DepartureState();

    public createMachine(): StateMachine {
        return new CompositeStateMachine([this.documents, this.quarantine, this.softwareVersions, this.departures]);
    }
}
