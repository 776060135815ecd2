/** What a host without a disk tells replicas that look for their group. */
import { type MessageInitShape } from "@bufbuild/protobuf";
import { Code, ConnectError, type ServiceImpl } from "@connectrpc/connect";
import { steadyNow } from "@winchpath/core";
import {
    type ConsensusService,
    type ProbeRequest,
    type ProbeResponseSchema,
} from "./gen/winchpath/consensus/v1/consensus_pb.js";

/** A replica that has not asked for this long is gone, in milliseconds; members ask their seeds once a second. */
const rememberMs = 10_000;

/** What a relay knows by other means. */
export interface RelayKnowledge {
    readonly host: string;
    /** URL of the leader; empty where none is known. */
    readonly leaderUrl: () => string;
    /** URLs of the control group's members, as the leader told them. */
    readonly memberUrls: () => readonly string[];
    /** Whether the whole system starts for the first time, so that a first group may be formed. */
    readonly mayForm: () => boolean;
}

/**
 * It holds no log and has no vote. It introduces replicas that ask it to each
 * other, and at a first start whose seeds have no disk it names the one that
 * forms the group: the first that asked, and no other for as long as it lives.
 */
export class ConsensusRelay {
    /** Steady time at which each replica last asked, by its URL. */
    private readonly askers = new Map<string, number>();
    private founder = "";

    public constructor(private readonly known: RelayKnowledge) {}

    public service(): Partial<ServiceImpl<typeof ConsensusService>> {
        const noLog = () => {
            throw new ConnectError("no log is kept here", Code.FailedPrecondition);
        };
        return {
            vote: noLog,
            append: noLog,
            probe: req => this.answer(req),
            join: noLog,
            propose: noLog,
            readIndex: noLog,
            elect: noLog,
        };
    }

    /** What a replica that looks for its group is told. */
    public answer(req: ProbeRequest): MessageInitShape<typeof ProbeResponseSchema> {
        if (req.url !== "") {
            this.askers.set(req.url, steadyNow());
            this.name(req.memberId);
        }
        return {
            host: this.known.host,
            leaderUrl: this.known.leaderUrl(),
            hasDisk: false,
            knownUrls: [...this.knownUrls],
            founder: this.founder,
        };
    }

    /** URLs of hosts with a disk: members of the group, and those that have asked here. */
    public get knownUrls(): readonly string[] {
        const now = steadyNow();
        const fresh = [...this.askers].filter(([, askedAt]) => now - askedAt < rememberMs).map(([url]) => url);
        return [...new Set([...this.known.memberUrls(), ...fresh])];
    }

    private name(memberId: string): void {
        if (this.founder === "" && this.known.mayForm() && this.known.leaderUrl() === "") {
            this.founder = memberId;
        }
    }
}
