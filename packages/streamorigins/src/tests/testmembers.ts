/** Stand-ins for the members of the control group, and for what entries know of versions. */
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { Code, ConnectError, type HandlerContext } from "@connectrpc/connect";
import { Metrics, silentLog } from "@winchpath/core";
import { type PeerClients } from "@winchpath/rpc";
import {
    FindRequestSchema,
    FindResponseSchema,
    RecordRequestSchema,
    RecordResponseSchema,
} from "../gen/winchpath/streamorigins/v1/streamorigins_pb.js";
import { OriginRecordStore, type StreamIdentity, StreamOriginClient, streamOriginService } from "../index.js";
import { type VersionView } from "../streamoriginclients.js";

const callMs = 1;

/** What entries know; changed by tests. */
export class TestView implements VersionView {
    public softwareVersionsConfirmedAgeMs = 100;
    public versions: Record<string, readonly string[]> = {};

    public constructor(public urls: readonly string[]) {}

    public softwareVersions(service: string): readonly string[] {
        return this.versions[service] ?? [];
    }

    public controlUrls(): readonly string[] {
        return this.urls;
    }
}

/** Members by URL, and the entries that call them. */
export class TestMembers {
    public readonly metrics = new Metrics();
    public readonly stores = new Map<string, OriginRecordStore>();
    /** Members that answer nobody. */
    public readonly down = new Set<string>();
    /** Entries that reach no member. */
    public readonly cutOff = new Set<string>();
    public recordCalls = 0;
    public findCalls = 0;

    public constructor(urls: readonly string[]) {
        urls.forEach(url => this.start(url));
    }

    /** Starts a member, or restarts it without its records. */
    public start(url: string): void {
        this.stores.set(url, new OriginRecordStore(silentLog, this.metrics));
        this.down.delete(url);
    }

    public client(entry: string, view: VersionView): StreamOriginClient {
        return new StreamOriginClient(view, this.peerClients(entry), silentLog, this.metrics);
    }

    /** Number of records at all members. */
    public get recordCount(): number {
        return [...this.stores.values()].reduce((sum, store) => sum + store.size, 0);
    }

    private peerClients(entry: string): PeerClients {
        const client = (_service: unknown, url: string) => ({
            record: (req: MessageInitShape<typeof RecordRequestSchema>) => {
                this.recordCalls++;
                return this.call(entry, url, async (service, context) =>
                    create(
                        RecordResponseSchema,
                        await service.record(create(RecordRequestSchema, req), context),
                    ));
            },
            find: (req: MessageInitShape<typeof FindRequestSchema>) => {
                this.findCalls++;
                return this.call(entry, url, async (service, context) =>
                    create(
                        FindResponseSchema,
                        await service.find(create(FindRequestSchema, req), context),
                    ));
            },
        });
        return { client: client as unknown as PeerClients["client"], disconnect: () => undefined };
    }

    private async call<T>(
        entry: string,
        url: string,
        answer: (service: ReturnType<typeof streamOriginService>, context: HandlerContext) => Promise<T>,
    ): Promise<T> {
        await new Promise(resolve => setTimeout(resolve, callMs));
        if (this.down.has(url) || this.cutOff.has(entry)) {
            throw new ConnectError("no answer", Code.Unavailable);
        }
        return answer(streamOriginService(this.stores.get(url)!), {} as HandlerContext);
    }
}

export function streamOf(id: string, fields: Partial<StreamIdentity> = {}): StreamIdentity {
    return { id, service: "chat", host: "a.example", url: "/v1/chat", account: "acme", ...fields };
}
