/** Deployments of real processes on loopback: entry hosts, agents and their mock upstreams. */
import { newId, sleep } from "@winchpath/core";
import { kinds, parseManifests } from "@winchpath/declarations";
import { type Status } from "@winchpath/operators";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { diffManifests, OperatorClient } from "winchpath";
import { type EngineOptions } from "../standins/engines.js";
import { allocateLoopbackAddress, findFreePorts } from "./ports.js";
import { TestProcess } from "./processes.js";

export interface EngineSpec {
    readonly name: string;
    readonly dataCentre: string;
    readonly memory: string;
    readonly options?: Partial<EngineOptions>;
}

export interface ServiceSpec {
    readonly name: string;
    readonly dataCentre: string;
    readonly service: string;
}

export interface DeploymentSpec {
    readonly dataCentres: readonly string[];
    readonly engines: readonly EngineSpec[];
    readonly services: readonly ServiceSpec[];
    /** TOML that is appended to the settings of every entry. */
    readonly entrySettings?: string;
    /** Flags of the runtime of every entry. */
    readonly entryNodeFlags?: readonly string[];
}

export interface EntryHost {
    readonly name: string;
    readonly callersUrl: string;
    readonly operatorsUrl: string;
    readonly peersUrl: string;
    readonly settingsFile: string;
    process: TestProcess;
}

export interface UpstreamHost {
    readonly name: string;
    readonly url: string;
    readonly settingsFile: string;
    agent: TestProcess;
    mock: TestProcess;
}

const statusPollMs = 100;
const key = "a key for tests on loopback only";

export class Deployment {
    public readonly entries: EntryHost[] = [];
    public readonly upstreams: UpstreamHost[] = [];
    private readonly address = allocateLoopbackAddress();
    private seeds = "";
    private operatorClient: OperatorClient | undefined;

    private constructor(public readonly folder: string, private readonly spec: DeploymentSpec) {}

    /** Starts all processes and waits until they are ready. */
    public static async start(spec: DeploymentSpec): Promise<Deployment> {
        const deployment = new Deployment(await mkdtemp(join(tmpdir(), "winchpath-")), spec);
        try {
            await deployment.startAll();
        }
        catch (err) {
            await deployment.stop();
            throw err;
        }
        return deployment;
    }

    /** A client of the operators' interface that fails over between all entries. */
    public get client(): OperatorClient {
        this.operatorClient ??= new OperatorClient({ entries: this.entries.map(entry => entry.operatorsUrl), key });
        return this.operatorClient;
    }

    /** Replaces all declarations by those in a TOML text; returns the new revision. */
    public async applyManifests(toml: string, changeId = newId()): Promise<number> {
        const manifests = parseManifests(toml, "toml").unwrap();
        const lists = await Promise.all(kinds.map(kind => this.client.list(kind)));
        const items = diffManifests(manifests, lists.flatMap(list => list.items), true);
        const result = await this.client.change({ changeId, operator: "awa", items }, false);
        if (result.tag === "refused") {
            throw new Error(result.issues.map(issue => issue.message).join("; "));
        }
        return result.revision;
    }

    /** Polls the status until the predicate holds, and returns it; throws after the timeout. */
    public async waitForStatus(
        description: string,
        predicate: (status: Status) => boolean,
        timeoutMs = 30_000,
    ): Promise<Status> {
        const deadline = Date.now() + timeoutMs;
        for (;;) {
            const status = await this.client.status().catch(() => undefined);
            if (status !== undefined && predicate(status)) {
                return status;
            }
            if (Date.now() >= deadline) {
                throw new Error(
                    `status did not become "${description}" within ${timeoutMs} ms: ${JSON.stringify(status)}`,
                );
            }
            await sleep(statusPollMs);
        }
    }

    /** Waits until every declared model and service is available and every process has applied the newest revision. */
    public waitUntilReady(timeoutMs?: number): Promise<Status> {
        return this.waitForStatus(
            "ready",
            status =>
                status.behind.length === 0 && status.models.every(model => model.condition === "ready")
                && status.services.every(service => service.upstreams > 0),
            timeoutMs,
        );
    }

    /** Configures fault injection of an agent's mock upstream. */
    public async setFaults(name: string, faults: object): Promise<void> {
        const body = JSON.stringify(faults);
        await fetch(`${this.upstream(name).url}/stand-in/faults`, {
            method: "POST",
            body,
            headers: { "content-type": "application/json" },
        });
    }

    /** Waits until the control group has a leader, and returns its entry. */
    public async findLeader(): Promise<EntryHost> {
        const status = await this.waitForStatus("led", ({ leader }) => leader !== "");
        return this.entry(status.leader);
    }

    /** Environment variables for the `winchpath` command. */
    public get commandEnvironment(): Record<string, string> {
        return {
            WINCHPATH_ENTRIES: this.entries.map(entry => entry.operatorsUrl).join(","),
            WINCHPATH_KEY_FILE: join(this.folder, "key"),
            WINCHPATH_OPERATOR: "awa",
        };
    }

    public entry(name: string): EntryHost {
        return this.entries.find(entry => entry.name === name)!;
    }

    public upstream(name: string): UpstreamHost {
        return this.upstreams.find(upstream => upstream.name === name)!;
    }

    public async restartEntry(entry: EntryHost): Promise<void> {
        entry.process = await TestProcess.startDaemon(entry.settingsFile, entry.name).waitUntilReady();
    }

    /** Restarts an agent's mock upstream on the same port. */
    public async restartMock(upstream: UpstreamHost): Promise<void> {
        const spec = this.spec.engines.find(engine => engine.name === upstream.name);
        const port = Number(new URL(upstream.url).port);
        const kind = spec === undefined ? "service" : "engine";
        upstream.mock = await this.startMock(kind, port, spec?.options ?? {}).waitUntilReady();
    }

    public async restartAgent(upstream: UpstreamHost): Promise<void> {
        upstream.agent = await TestProcess.startDaemon(upstream.settingsFile, upstream.name).waitUntilReady();
    }

    /** Deletes an entry host's data folder, to simulate the loss of its disk. */
    public async deleteData(entry: EntryHost): Promise<void> {
        await rm(join(this.folder, entry.name), { recursive: true, force: true });
    }

    /** Fetches the statistics of an agent's mock upstream. */
    public async fetchStats<T>(name: string): Promise<T> {
        const res = await fetch(`${this.upstream(name).url}/stand-in/facts`);
        return await res.json() as T;
    }

    public async stop(): Promise<void> {
        const processes = [
            ...this.entries.map(entry => entry.process),
            ...this.upstreams.flatMap(upstream => [upstream.agent, upstream.mock]),
        ];
        await Promise.all(processes.filter(process => process !== undefined).map(process => process.kill()));
        await rm(this.folder, { recursive: true, force: true });
    }

    private async startAll(): Promise<void> {
        await writeFile(join(this.folder, "key"), key);
        const { dataCentres, engines, services } = this.spec;
        const availablePorts = await findFreePorts(
            this.address,
            dataCentres.length * 3 + (engines.length + services.length) * 2,
        );
        const takePort = () => availablePorts.pop()!;
        const entryAddresses = dataCentres.map(dataCentre => ({
            dataCentre,
            peers: takePort(),
            callers: takePort(),
            operators: takePort(),
        }));
        this.seeds = JSON.stringify(entryAddresses.map(({ peers }) => `http://${this.address}:${peers}`));
        for (const { dataCentre, peers, callers, operators } of entryAddresses) {
            const name = `entry-${dataCentre}`;
            const settings = await this.writeSettings(name, [
                `role = "entry"`,
                `host = "${name}"`,
                `dataCentre = "${dataCentre}"`,
                `dataFolder = "${name}"`,
                `[listen]`,
                `peers = "${this.address}:${peers}"`,
                `callers = "${this.address}:${callers}"`,
                `operators = "${this.address}:${operators}"`,
                this.spec.entrySettings ?? "",
            ]);
            this.entries.push({
                name,
                callersUrl: `http://${this.address}:${callers}`,
                operatorsUrl: `http://${this.address}:${operators}`,
                peersUrl: `http://${this.address}:${peers}`,
                settingsFile: settings,
                process: TestProcess.startDaemon(settings, name, this.spec.entryNodeFlags),
            });
        }
        const starting = [
            ...engines.map(spec => this.startEngine(spec, takePort(), takePort())),
            ...services.map(spec => this.startService(spec, takePort(), takePort())),
        ];
        this.upstreams.push(...await Promise.all(starting));
        await Promise.all(this.entries.map(entry => entry.process.waitUntilReady()));
    }

    private async startEngine(spec: EngineSpec, port: number, agentPort: number): Promise<UpstreamHost> {
        const { name, dataCentre, memory, options = {} } = spec;
        return this.startUpstream(name, dataCentre, port, agentPort, this.startMock("engine", port, options), [
            `kind = "engine"`,
            `concurrency = ${options.capacity ?? 8}`,
            `checksFence = ${options.checksFence ?? true}`,
            `orderLifetime = "1s"`,
            `accelerators = [{ name = "a0", memory = "${memory}" }]`,
        ]);
    }

    private async startService(spec: ServiceSpec, port: number, agentPort: number): Promise<UpstreamHost> {
        const { name, dataCentre, service } = spec;
        const mock = this.startMock("service", port, {});
        return this.startUpstream(name, dataCentre, port, agentPort, mock, [
            `kind = "service"`,
            `service = "${service}"`,
        ]);
    }

    private async startUpstream(
        name: string,
        dataCentre: string,
        port: number,
        agentPort: number,
        mock: TestProcess,
        upstreamSettings: readonly string[],
    ): Promise<UpstreamHost> {
        const url = `http://${this.address}:${port}`;
        const settings = await this.writeSettings(name, [
            `role = "agent"`,
            `host = "${name}"`,
            `dataCentre = "${dataCentre}"`,
            `[listen]`,
            `peers = "${this.address}:${agentPort}"`,
            `[upstream]`,
            `name = "${name}"`,
            `url = "${url}"`,
            ...upstreamSettings,
        ]);
        const agent = TestProcess.startDaemon(settings, name);
        await Promise.all([agent.waitUntilReady(), mock.waitUntilReady()]);
        return { name, url, settingsFile: settings, agent, mock };
    }

    private startMock(kind: string, port: number, options: object): TestProcess {
        return TestProcess.startMock(kind, this.address, port, options);
    }

    private async writeSettings(name: string, lines: readonly string[]): Promise<string> {
        const path = join(this.folder, `${name}.toml`);
        const common = [`[control]`, `seeds = ${this.seeds}`, `[security]`, `keyFile = "key"`];
        await writeFile(path, [...lines, ...common, ""].join("\n"));
        return path;
    }
}
