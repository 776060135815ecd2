/** Works the status out from what this host knows, and asks the members how far they are. */
import { type PeerConnector, type Replica } from "@winchpath/consensus";
import { type Catalogue, type Model } from "@winchpath/declarations";
import { type AcceleratorView, acceleratorViews, type Ledger, placementReason } from "@winchpath/placement";
import { type LiveUpstream, type Registrar } from "@winchpath/upstream";
import { type MemberView, type ModelStatus, type Status, type UpstreamStatus } from "./schemas.js";

const probeTimeoutMs = 500;

export interface StatusParts {
    readonly replica: Replica;
    readonly peers: PeerConnector;
    readonly registrar: Registrar;
    readonly ledger: Ledger;
    readonly catalogue: () => Catalogue;
}

export async function statusOf(parts: StatusParts): Promise<Status> {
    const catalogue = parts.catalogue();
    const live = parts.registrar.live();
    const views = acceleratorViews(parts.ledger, live, catalogue.drained, () => true);
    const members = await memberViews(parts);
    const upstreams = live.map(each => upstreamStatus(each, parts.ledger));
    return {
        revision: catalogue.revision,
        leader: members.find(member => member.role === "leader")?.host ?? "",
        members,
        upstreams: upstreams.sort((a, b) => a.name < b.name ? -1 : 1),
        models: catalogue.models.map(model => modelStatus(model, views)),
        services: [...catalogue.services.keys()].sort().map(name => ({
            name,
            upstreams: live.filter(({ report }) => report.service === name).length,
        })),
        behind: behindOf(catalogue.revision, members, upstreams),
    };
}

/** What one model has on these accelerators. */
export function modelStatus(model: Model, views: readonly AcceleratorView[]): ModelStatus {
    const ids = [model, ...model.adapters].map(item => item.id);
    const ready = views.filter(view => ids.every(id => view.items.get(id)?.ready));
    const held = views.filter(view => view.items.has(model.id));
    const earlier = views.filter(view =>
        [...view.items].some(([id, item]) => item.ready && id !== model.id && id.startsWith(`${model.name}@`))
    );
    const condition = ready.length >= model.minReplicas
        ? "ready"
        : ready.length > 0 || held.length > 0
        ? "progressing"
        : earlier.length > 0
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
        reason: condition === "ready" ? "" : placementReason(model, views, held.length).text,
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

async function memberViews({ replica, peers }: StatusParts): Promise<MemberView[]> {
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

function behindOf(revision: number, members: readonly MemberView[], upstreams: readonly UpstreamStatus[]): string[] {
    const hosts = members.filter(member => member.appliedIndex < revision).map(({ host, reachable, appliedIndex }) =>
        reachable ? `${host} (at ${appliedIndex})` : `${host} (not reachable)`
    );
    const agents = upstreams.filter(upstream => upstream.revision < revision);
    return [...hosts, ...agents.map(upstream => `${upstream.name} (at ${upstream.revision})`)];
}
