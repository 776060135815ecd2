/** Peer discovery on hosts without a disk: responds to probes of replicas that look for their group. */
import { type MessageInitShape } from "@bufbuild/protobuf";
import { Code, ConnectError, type ServiceImpl } from "@connectrpc/connect";
import { steadyNow } from "@winchpath/core";
import {
    type ConsensusService,
    type ProbeRequest,
    type ProbeResponseSchema,
} from "./gen/winchpath/consensus/v1/consensus_pb.js";

/** Time after which a replica's last probe expires, in milliseconds; members probe their seeds every second. */
const probeExpiryMs = 10_000;

/** State of the host that probe responses report. */
export interface PeerDiscoveryContext {
    readonly host: string;
    /** URL of the leader; empty if unknown. */
    readonly leaderUrl: () => string;
    /** URLs of the control group's members, as reported by the leader. */
    readonly memberUrls: () => readonly string[];
    /** Whether a new group may be formed because the system starts for the first time. */
    readonly mayFormGroup: () => boolean;
}

/**
 * Lets replicas find each other through a host that has no log and no vote. On the first start it
 * also designates the replica that forms the group if no seed has a disk: the first one that sends
 * a probe, for the lifetime of the process.
 */
export class PeerDiscovery {
    /** Monotonic time of each replica's last probe, by URL. */
    private readonly lastProbes = new Map<string, number>();
    private founder = "";

    public constructor(private readonly context: PeerDiscoveryContext) {}

    public service(): Partial<ServiceImpl<typeof ConsensusService>> {
        const rejectWithoutLog = () => {
            throw new ConnectError("no log is kept here", Code.FailedPrecondition);
        };
        return {
            vote: rejectWithoutLog,
            append: rejectWithoutLog,
            probe: req => this.handleProbe(req),
            join: rejectWithoutLog,
            handOverVote: rejectWithoutLog,
            propose: rejectWithoutLog,
            readIndex: rejectWithoutLog,
            elect: rejectWithoutLog,
        };
    }

    /** Records the sender of a probe and creates the response. */
    public handleProbe(req: ProbeRequest): MessageInitShape<typeof ProbeResponseSchema> {
        if (req.url !== "") {
            this.lastProbes.set(req.url, steadyNow());
            this.selectFounder(req.memberId);
        }
        return {
            host: this.context.host,
            leaderUrl: this.context.leaderUrl(),
            hasDisk: false,
            knownUrls: [...this.knownUrls],
            founder: this.founder,
        };
    }

    /** URLs of hosts with a disk: members of the group, and replicas with an unexpired probe. */
    public get knownUrls(): readonly string[] {
        const now = steadyNow();
        const recentUrls = [...this.lastProbes].filter(([, probedAt]) => now - probedAt < probeExpiryMs).map(([url]) =>
            url
        );
        return [...new Set([...this.context.memberUrls(), ...recentUrls])];
    }

    private selectFounder(memberId: string): void {
        if (this.founder === "" && this.context.mayFormGroup() && this.context.leaderUrl() === "") {
            this.founder = memberId;
        }
    }
}
