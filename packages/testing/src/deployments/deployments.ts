/** A small deployment of real processes on loopback: entry hosts, agents, and the stand-ins beside them. */
import { newId, sleep } from "@winchpath/core";
import { kinds, parseManifests } from "@winchpath/declarations";
import { type Status } from "@winchpath/operators";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { diffManifests, OperatorClient } from "winchpath";
import { type EngineOptions } from "../standins/engines.js";
import { freePorts, ownAddress } from "./ports.js";
import { Process } from "./processes.js";

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
    /** Settings lines for entries, after the common ones. */
    readonly entrySettings?: string;
}

export interface EntryHost {
    readonly name: string;
    readonly callers: string;
    readonly operators: string;
    readonly peers: string;
    readonly settings: string;
    process: Process;
}

export interface UpstreamHost {
    readonly name: string;
    readonly url: string;
    readonly settings: string;
    agent: Process;
    standIn: Process;
}

const pollMs = 100;
const key = "a key for tests on loopback only";

export class Deployment {
    public readonly entries: EntryHost[] = [];
    public readonly upstreams: UpstreamHost[] = [];
    private readonly address = ownAddress();
    private seeds = "";
    private operatorClient: OperatorClient | undefined;

    private constructor(public readonly folder: string, private readonly spec: DeploymentSpec) {}

    /** Starts everything; returns once all processes serve. */
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

    /** The operators' interface, through all entries. */
    public get client(): OperatorClient {
        this.operatorClient ??= new OperatorClient({ entries: this.entries.map(entry => entry.operators), key });
        return this.operatorClient;
    }

    /** Makes the declarations what the TOML text says, and nothing else. */
    public async declare(text: string, changeId = newId()): Promise<number> {
        const manifests = parseManifests(text, "toml").unwrap();
        const lists = await Promise.all(kinds.map(kind => this.client.list(kind)));
        const items = diffManifests(manifests, lists.flatMap(list => list.items), true);
        const result = await this.client.change({ changeId, operator: "awa", items }, false);
        if (result.tag === "refused") {
            throw new Error(result.issues.map(issue => issue.message).join("; "));
        }
        return result.revision;
    }

    /** Waits until the status is as asked for; gives it. */
    public async untilStatus(what: string, holds: (status: Status) => boolean, timeoutMs = 30_000): Promise<Status> {
        const deadline = Date.now() + timeoutMs;
        for (;;) {
            const status = await this.client.status().catch(() => undefined);
            if (status !== undefined && holds(status)) {
                return status;
            }
            if (Date.now() >= deadline) {
                throw new Error(`not ${what} within ${timeoutMs} ms: ${JSON.stringify(status)}`);
            }
            await sleep(pollMs);
        }
    }

    /** Waits until every declared model is ready, and every process has the newest revision. */
    public untilReady(timeoutMs?: number): Promise<Status> {
        return this.untilStatus(
            "ready",
            status =>
                status.behind.length === 0 && status.models.every(model => model.condition === "ready")
                && status.services.every(service => service.upstreams > 0),
            timeoutMs,
        );
    }

    /** Sets faults of the stand-in beside an agent. */
    public async setFaults(name: string, faults: object): Promise<void> {
        const body = JSON.stringify(faults);
        await fetch(`${this.upstream(name).url}/stand-in/faults`, {
            method: "POST",
            body,
            headers: { "content-type": "application/json" },
        });
    }

    /** The entry that leads the control group. */
    public async leader(): Promise<EntryHost> {
        const status = await this.untilStatus("led", ({ leader }) => leader !== "");
        return this.entry(status.leader);
    }

    /** Environment for the command line. */
    public get environment(): Record<string, string> {
        return {
            WINCHPATH_ENTRIES: this.entries.map(entry => entry.operators).join(","),
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

    /** Starts the process of an entry host again. */
    public async restartEntry(entry: EntryHost): Promise<void> {
        entry.process = await Process.daemon(entry.settings, entry.name).untilReady();
    }

    /** Starts the stand-in beside an agent again, on the same port. */
    public async restartStandIn(upstream: UpstreamHost): Promise<void> {
        const spec = this.spec.engines.find(engine => engine.name === upstream.name);
        const port = Number(new URL(upstream.url).port);
        const kind = spec === undefined ? "service" : "engine";
        upstream.standIn = await this.standIn(kind, port, spec?.options ?? {}).untilReady();
    }

    public async restartAgent(upstream: UpstreamHost): Promise<void> {
        upstream.agent = await Process.daemon(upstream.settings, upstream.name).untilReady();
    }

    /** Throws an entry host's data folder away, as the loss of its disk does. */
    public async wipe(entry: EntryHost): Promise<void> {
        await rm(join(this.folder, entry.name), { recursive: true, force: true });
    }

    /** Facts of the stand-in beside an agent. */
    public async facts<T>(name: string): Promise<T> {
        const res = await fetch(`${this.upstream(name).url}/stand-in/facts`);
        return await res.json() as T;
    }

    public async stop(): Promise<void> {
        const processes = [
            ...this.entries.map(entry => entry.process),
            ...this.upstreams.flatMap(upstream => [upstream.agent, upstream.standIn]),
        ];
        await Promise.all(processes.filter(process => process !== undefined).map(process => process.kill()));
        await rm(this.folder, { recursive: true, force: true });
    }

    private async startAll(): Promise<void> {
        await writeFile(join(this.folder, "key"), key);
        const { dataCentres, engines, services } = this.spec;
        const entryPorts = await freePorts(
            this.address,
            dataCentres.length * 3 + (engines.length + services.length) * 2,
        );
        const take = () => entryPorts.pop()!;
        const entries = dataCentres.map(dataCentre => ({
            dataCentre,
            peers: take(),
            callers: take(),
            operators: take(),
        }));
        this.seeds = JSON.stringify(entries.map(({ peers }) => `http://${this.address}:${peers}`));
        for (const { dataCentre, peers, callers, operators } of entries) {
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
                callers: `http://${this.address}:${callers}`,
                operators: `http://${this.address}:${operators}`,
                peers: `http://${this.address}:${peers}`,
                settings,
                process: Process.daemon(settings, name),
            });
        }
        const starting = [
            ...engines.map(spec => this.startEngine(spec, take(), take())),
            ...services.map(spec => this.startService(spec, take(), take())),
        ];
        this.upstreams.push(...await Promise.all(starting));
        await Promise.all(this.entries.map(entry => entry.process.untilReady()));
    }

    private async startEngine(spec: EngineSpec, port: number, agentPort: number): Promise<UpstreamHost> {
        const { name, dataCentre, memory, options = {} } = spec;
        return this.startUpstream(name, dataCentre, port, agentPort, this.standIn("engine", port, options), [
            `kind = "engine"`,
            `concurrency = ${options.capacity ?? 8}`,
            `checksFence = ${options.checksFence ?? true}`,
            `orderLifetime = "1s"`,
            `accelerators = [{ name = "a0", memory = "${memory}" }]`,
        ]);
    }

    private async startService(spec: ServiceSpec, port: number, agentPort: number): Promise<UpstreamHost> {
        const { name, dataCentre, service } = spec;
        const standIn = this.standIn("service", port, {});
        return this.startUpstream(name, dataCentre, port, agentPort, standIn, [
            `kind = "service"`,
            `service = "${service}"`,
        ]);
    }

    private async startUpstream(
        name: string,
        dataCentre: string,
        port: number,
        agentPort: number,
        standIn: Process,
        lines: readonly string[],
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
            ...lines,
        ]);
        const agent = Process.daemon(settings, name);
        await Promise.all([agent.untilReady(), standIn.untilReady()]);
        return { name, url, settings, agent, standIn };
    }

    private standIn(kind: string, port: number, options: object): Process {
        return Process.standIn(kind, this.address, port, options);
    }

    private async writeSettings(name: string, lines: readonly string[]): Promise<string> {
        const path = join(this.folder, `${name}.toml`);
        const common = [`[control]`, `seeds = ${this.seeds}`, `[security]`, `keyFile = "key"`];
        await writeFile(path, [...lines, ...common, ""].join("\n"));
        return path;
    }
}
