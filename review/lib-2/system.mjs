/** Starts the project's own programs with the commands of the deploy file, each host on its own loopback address. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { call, sleep, until } from "./http.mjs";

export const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const deployText = readFileSync(join(root, "deploy", "system.toml"), "utf8");

/** The command line of a role, as in the deploy file. */
function commandOf(role) {
    const section = deployText.split(`[roles.${role}]`)[1];
    return /^run = "([^"]*)"/m.exec(section)[1].split(" ");
}

/** Bounds of the site fcs-booking (SYSTEM.md). */
export const bounds = {
    "seed-lag-s": 3,
    "addr-reuse-s": 2,
    "contact-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 8,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "rollback-slack-ms": 250,
    "max-skew-ms": 5000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "retry-budget-slack": 52,
    "recovery-s": 12,
    "pass-ms": 120,
    "retry-after-s": 0,
    "require-fence": true,
    "lease-ms": 3000,
    "thaw-slack-ms": 300,
    "ceiling-window-s": 5,
    "ceiling-overage": 1.1,
};

const limitsOf = {
    front: { "cpu-share": 0.513, cores: 1, "memory-mb": 350, "max-fds": 4100, "link-mbps": 1000, "disk-mb": 0 },
    core: { "cpu-share": 0.81, cores: 2, "memory-mb": 346, "max-fds": 4096, "link-mbps": 1000, "disk-mb": 128 },
};

const roleOf = { front: "entry", core: "control" };
const zones = ["plateau", "pikine", "rufisque"];

async function isFree(host, port) {
    const server = createServer();
    const opened = once(server, "listening");
    server.listen(port, host);
    try {
        await opened;
    }
    catch {
        return false;
    }
    await new Promise(resolve => server.close(resolve));
    return true;
}

/** A host of the system and its process. */
export class Host {
    child;
    output = "";

    constructor(system, name, machineClass, index, ip) {
        this.system = system;
        this.name = name;
        this.machineClass = machineClass;
        this.index = index;
        this.ip = ip;
    }

    get settingsFile() {
        return join(this.system.folder, `${this.name}.yaml`);
    }

    get dataFolder() {
        return join(this.system.folder, this.name);
    }

    /** Empties the disk of a host whose process has ended. */
    wipe() {
        rmSync(this.dataFolder, { recursive: true, force: true });
        mkdirSync(this.dataFolder);
    }

    writeSettings(bootstrap) {
        const { system, ip, machineClass, index } = this;
        const { ports } = system;
        const isFront = machineClass === "front";
        writeFileSync(
            this.settingsFile,
            JSON.stringify({
                "node-name": this.name,
                role: roleOf[machineClass],
                "machine-class": machineClass,
                serves: isFront ? ["front", "control"] : ["control"],
                ip,
                zone: zones[index % zones.length],
                region: "dakar",
                listen: isFront
                    ? {
                        front: `${ip}:${ports.front}`,
                        ready: `${ip}:${ports.ready}`,
                        control: `${ip}:${ports.control}`,
                    }
                    : { control: `${ip}:${ports.control}` },
                "internal-ports": [ports.peers, ports.metrics],
                seeds: system.seedHosts.map(seed => `${seed.ip}:${ports.control}`),
                bootstrap,
                "counts-toward-loss": !isFront,
                limits: limitsOf[machineClass],
                ...(isFront ? {} : { "data-dir": this.dataFolder }),
                discovery: "registration",
                entry: "vip",
                "heartbeat-ms": 1200,
                contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"],
                "fault-tolerance": { machines: 2, zones: 0, regions: 0 },
                bounds,
                "config-mode": "highest",
            }),
        );
    }

    start(bootstrap) {
        this.writeSettings(bootstrap);
        const [program, ...args] = commandOf(roleOf[this.machineClass]);
        const { PATH, HOME, LANG } = process.env;
        const env = { PATH, HOME, LANG, WINCHPATH_SETTINGS: this.settingsFile };
        this.child = spawn(program, args, { cwd: root, env, stdio: ["ignore", "pipe", "pipe"] });
        this.child.stdout.on("data", chunk => this.output += chunk);
        this.child.stderr.on("data", chunk => this.output += chunk);
        this.exited = once(this.child, "exit");
    }

    signal(name) {
        this.child.kill(name);
    }

    get running() {
        return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null; // eslint-disable-line no-restricted-syntax
    }

    async kill() {
        if (this.running) {
            this.child.kill("SIGCONT");
            this.child.kill("SIGKILL");
            await this.exited;
        }
    }

    /** Events of the process's log with this name. */
    events(name) {
        return this.output.split("\n").filter(line => line.includes(`"event":"${name}"`)).flatMap(line => {
            try {
                return [JSON.parse(line)];
            }
            catch {
                return [];
            }
        });
    }
}

/** A small deployment: five hosts of the core and some fronts. */
export class System {
    cores = [];
    fronts = [];
    folder = mkdtempSync(join(tmpdir(), "winchpath-review-"));

    /** `seedNames`: the three hosts whose control addresses the settings name. */
    static async start({ cores = 5, fronts = 2, seedNames = ["core-0", "core-1", "core-2"] } = {}) {
        const system = new System();
        const net = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
        const ips = Array.from({ length: cores + fronts }, (_, index) => `${net}.${index + 1}`);
        const names = ["front", "ready", "control", "peers", "metrics"];
        for (;;) {
            const base = 20_000 + Math.floor(Math.random() * 10_000);
            system.ports = Object.fromEntries(names.map((name, index) => [name, base + index]));
            const checks = ips.flatMap(ip => names.map(name => isFree(ip, system.ports[name])));
            if ((await Promise.all(checks)).every(Boolean)) {
                break;
            }
        }
        system.cores = ips.slice(0, cores).map((ip, index) => new Host(system, `core-${index}`, "core", index, ip));
        system.fronts = ips.slice(cores).map((ip, index) => new Host(system, `front-${index}`, "front", index, ip));
        system.seedHosts = seedNames.map(name => system.hosts.find(host => host.name === name));
        system.hosts.forEach(host => host.start(true));
        return system;
    }

    get hosts() {
        return [...this.cores, ...this.fronts];
    }

    get controlAddresses() {
        return this.cores.map(({ ip }) => `${ip}:${this.ports.control}`);
    }

    frontAddress(front) {
        return { host: front.ip, port: this.ports.front };
    }

    /** Puts a configuration as an operator does: again and again, to any host, until it is acknowledged. */
    async configure(document, timeoutMs = 20_000) {
        return until(
            async () => {
                for (const address of this.controlAddresses) {
                    const res = await call(address, "POST", "/config/put", document).catch(() => undefined);
                    if (res?.status === 200) {
                        return true;
                    }
                    if (res !== undefined && res.status < 500) {
                        throw new Error(`the configuration was refused: ${res.status} ${res.body}`);
                    }
                }
                return undefined;
            },
            timeoutMs,
            "the acknowledgement of a configuration",
        );
    }

    /** Waits until all fronts say that they are ready. */
    async ready(timeoutMs = 20_000) {
        for (const front of this.fronts) {
            await until(
                async () => {
                    const res = await call(`${front.ip}:${this.ports.ready}`, "GET", "/readiness").catch(() =>
                        undefined
                    );
                    return res?.status === 200 || undefined;
                },
                timeoutMs,
                `the readiness of ${front.name}`,
            );
        }
    }

    async stop() {
        await Promise.all(this.hosts.map(host => host.kill()));
        await sleep(50);
        if (process.env.KEEP_LOGS === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        }
        else {
            this.hosts.forEach(host => writeFileSync(join(process.env.KEEP_LOGS, `${host.name}.log`), host.output));
        }
    }
}
