/** Computes the status from this host's state and from probes of the group's members. */
import { type PeerConnector, type Replica } from "@winchpath/consensus";
import { type Catalogue, type Model } from "@winchpath/declarations";
import { type AcceleratorView, acceleratorViews, type Ledger, placementReason } from "@winchpath/placement";
import { type LiveUpstream, type Registrar } from "@winchpath/upstream";
import { type MemberStatus, type ModelStatus, type Status, type UpstreamStatus } from "./schemas.js";

const probeTimeoutMs = 500;

export interface StatusSources {
    readonly replica: Replica;
    readonly peers: PeerConnector;
    readonly registrar: Registrar;
    readonly ledger: Ledger;
    readonly catalogue: () => Catalogue;
}

export async function collectStatus(sources: StatusSources): Promise<Status> {
    const catalogue = sources.catalogue();
    const live = sources.registrar.live();
    const accelerators = acceleratorViews(sources.ledger, live, catalogue.drained, () => true);
    const members = await probeMembers(sources);
    const upstreams = live.map(each => upstreamStatus(each, sources.ledger));
    return {
        revision: catalogue.revision,
        leader: members.find(member => member.role === "leader")?.host ?? "",
        members,
        upstreams: upstreams.sort((a, b) => a.name < b.name ? -1 : 1),
        models: catalogue.models.map(model => modelStatus(model, accelerators)),
        services: [...catalogue.services.keys()].sort().map(name => ({
            name,
            upstreams: live.filter(({ report }) => report.service === name).length,
        })),
        behind: listBehind(catalogue.revision, members, upstreams),
    };
}

/** Computes a model's status from the state of the accelerators. */
export function modelStatus(model: Model, accelerators: readonly AcceleratorView[]): ModelStatus {
    const ids = [model, ...model.adapters].map(item => item.id);
    const ready = accelerators.filter(view => ids.every(id => view.items.get(id)?.ready));
    const held = accelerators.filter(view => view.items.has(model.id));
    const readyEarlierVersion = accelerators.filter(view =>
        [...view.items].some(([id, item]) => item.ready && id !== model.id && id.startsWith(`${model.name}@`))
    );
    const condition = ready.length >= model.minReplicas
        ? "ready"
        : ready.length > 0 || held.length > 0
        ? "progressing"
        : readyEarlierVersion.length > 0
        ? "earlier-version"
        : "unreachable";
    return {
        name: model.name,
        version: model.version,
        condition,
        readyReplicas: ready.length,
        wantedReplicas: model.minReplicas,
        loading: held.length - ready.length,
        adapters: model.adapters.length,
        readyAt: ready.map(view => view.upstream),
        reason: condition === "ready" ? "" : placementReason(model, accelerators, held.length).text,
    };
}

function upstreamStatus({ report }: LiveUpstream, ledger: Ledger): UpstreamStatus {
    return {
        name: report.upstream,
        service: report.service,
        dataCentre: report.dataCentre,
        url: report.url,
        leaving: report.leaving,
        revision: Number(report.knownRevision),
        running: report.load?.running ?? 0,
        waiting: report.load?.waiting ?? 0,
        capacity: report.load?.capacity ?? 0,
        accelerators: report.accelerators.map(({ name, memoryBytes }) => {
            const bytes = Number(memoryBytes);
            return { name, bytes, used: bytes - ledger.freeBytes(report.upstream, name) };
        }),
    };
}

async function probeMembers({ replica, peers }: StatusSources): Promise<MemberStatus[]> {
    const members = replica.state.membership?.members ?? [];
    return Promise.all(members.map(async ({ host, url, voter }) => {
        try {
            const answer = await peers.connect(url).probe(probeTimeoutMs);
            const role = answer.leaderUrl === url ? "leader" : voter ? "voter" : "learner";
            return {
                host,
                url,
                role,
                reachable: true,
                term: Number(answer.term),
                appliedIndex: Number(answer.appliedIndex),
            };
        }
        catch {
            return { host, url, role: voter ? "voter" : "learner", reachable: false, term: 0, appliedIndex: 0 };
        }
    }));
}

function listBehind(
    revision: number,
    members: readonly MemberStatus[],
    upstreams: readonly UpstreamStatus[],
): string[] {
    const hosts = members.filter(member => member.appliedIndex < revision).map(({ host, reachable, appliedIndex }) =>
        reachable ? `${host} (at ${appliedIndex})` : `${host} (not reachable)`
    );
    const agents = upstreams.filter(upstream => upstream.revision < revision);
    return [...hosts, ...agents.map(upstream => `${upstream.name} (at ${upstream.revision})`)];
}
