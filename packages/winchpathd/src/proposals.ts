/** Commands to the replicated state of a platform deployment. */
import { encodeCommand, type ReplicaSupervisor } from "@winchpath/consensus";
import { type DocumentResult, type ProposedDocument } from "@winchpath/declarations";
import { type Departure, encodeDepartures, type SoftwareVersionCommand } from "@winchpath/fleet";
import { type QuarantineCommand, type QuarantineResult } from "@winchpath/quarantine";

/** Commits commands; each call resolves once its command is applied on this replica, and rejects after its timeout. */
export class Proposals {
    public constructor(
        private readonly keeper: () => Pick<ReplicaSupervisor, "require">,
        private readonly defaultTimeoutMs: number,
    ) {}

    public async document(document: ProposedDocument): Promise<DocumentResult> {
        return await this.propose("documents", document) as DocumentResult;
    }

    public async quarantine(command: QuarantineCommand): Promise<QuarantineResult> {
        return await this.propose("quarantine", command) as QuarantineResult;
    }

    public async softwareVersions(command: SoftwareVersionCommand): Promise<void> {
        await this.propose("software-versions", command);
    }

    public async departures(departures: readonly Departure[], timeoutMs: number): Promise<void> {
        await this.propose("departures", encodeDepartures(departures), timeoutMs);
    }

    /** Returns the result of the slice that the command is for. */
    private async propose(slice: string, command: object, timeoutMs = this.defaultTimeoutMs): Promise<unknown> {
        const { result } = await this.keeper().require().propose(encodeCommand(slice, command), timeoutMs);
        return JSON.parse(Buffer.from(result).toString());
    }
}
