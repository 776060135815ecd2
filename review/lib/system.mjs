/**
 * Starts the programs of the deploy file as separate processes on loopback addresses, with settings as the platform
 * writes them, and ends them. Used by the scripts of the cases.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { call, sleep } from "./http.mjs";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const startTimeoutMs = 30_000;
const pollMs = 50;

/** Bounds of the site that the cases name. */
const siteBounds = {
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

/** Returns the command line of a role, as in the deploy file. */
function commandOf(role) {
    const text = readFileSync(join(root, "deploy", "system.toml"), "utf8");
    const section = text.slice(text.indexOf(`[roles.${role}]`));
    return /run = "([^"]*)"/.exec(section)[1].split(" ");
}

async function isFree(ip, port) {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, ip, () => server.close(() => resolve(true)));
    });
}

/** Returns ports that are free at all addresses. */
async function findPorts(ips, count) {
    const found = [];
    for (let port = 20_000 + (process.pid * 37) % 20_000; found.length < count; port++) {
        const free = await Promise.all(ips.map(ip => isFree(ip, port)));
        if (free.every(Boolean)) {
            found.push(port);
        }
    }
    return found;
}

/** A machine of the system, with one process. */
class Machine {
    constructor(system, name, ip, role, settings) {
        Object.assign(this, { system, name, ip, role, settings, starts: 0 });
        this.file = join(system.folder, `${name}.yaml`);
        writeFileSync(this.file, JSON.stringify(settings));
    }

    start() {
        this.starts += 1;
        this.log = join(this.system.folder, `${this.name}-${this.starts}.log`);
        const out = openSync(this.log, "w");
        const [program, ...args] = commandOf(this.role);
        const { PATH, HOME, LANG } = process.env;
        const child = spawn(program === "node" ? process.execPath : program, args, {
            cwd: root,
            env: { PATH, HOME, LANG, WINCHPATH_SETTINGS: this.file },
            stdio: ["ignore", out, out],
        });
        this.child = child;
        this.exit = new Promise(resolve => child.once("exit", (code, signal) => resolve({ code, signal })));
        child.once("exit", () => this.child === child && (this.child = undefined));
    }

    signal(name) {
        this.child?.kill(name);
    }

    /** Lines of the process's log with an event of this name. */
    events(name) {
        return readFileSync(this.log, "utf8").split("\n").filter(line => line.includes(`"event":"${name}"`));
    }
}

export class System {
    /**
     * `controls` machines of the core, `entries` that take requests and relay control calls, and `spares` of the core that
     * are not started here.
     */
    static async start(
        { controls = 3, entries = 2, spares = 0, bounds = {}, settings = {}, note = () => undefined } = {},
    ) {
        const system = new System();
        system.note = note;
        system.folder = mkdtempSync(join(tmpdir(), "winchpath-review-"));
        system.machines = [];
        const names = [
            ...Array.from({ length: controls }, (_, index) => [`core-${index + 1}`, "control"]),
            ...Array.from({ length: entries }, (_, index) => [`front-${index + 1}`, "entry"]),
            ...Array.from({ length: spares }, (_, index) => [`core-${controls + index + 1}`, "control"]),
        ];
        const net = 16 + process.pid % 200;
        const ips = names.map((_, index) => `127.${net}.${(process.pid >> 8) % 250}.${index + 1}`);
        const [front, ready, control, peers, last] = await findPorts(ips, 5);
        system.ports = { front, ready, control };
        for (const [index, [name, role]] of names.entries()) {
            const ip = ips[index];
            const isEntry = role === "entry";
            const listen = isEntry
                ? { front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}` }
                : { control: `${ip}:${control}` };
            system.machines.push(
                new Machine(system, name, ip, role, {
                    "node-name": name,
                    "role": role,
                    "machine-class": isEntry ? "front" : "core",
                    "serves": isEntry ? ["front", "control"] : ["control"],
                    ip,
                    "zone": "plateau",
                    "region": "dakar",
                    "zones": { plateau: "dakar" },
                    listen,
                    "internal-ports": [peers, last],
                    "seeds": ips.slice(0, 3).map(seed => `${seed}:${control}`),
                    "bootstrap": index < controls + entries,
                    "counts-toward-loss": !isEntry,
                    "limits": { "memory-mb": 350, "max-fds": 4100, "link-mbps": 1000 },
                    "data-dir": isEntry ? undefined : join(system.folder, `${name}-data`),
                    "discovery": "registration",
                    "entry": "vip",
                    "heartbeat-ms": 1200,
                    "contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"],
                    "fault-tolerance": { machines: Math.floor((controls - 1) / 2), zones: 0, regions: 0 },
                    "bounds": { ...siteBounds, ...bounds },
                    "config-mode": "highest",
                    ...settings,
                }),
            );
        }
        system.machines.slice(0, controls + entries).forEach(machine => machine.start());
        return system;
    }

    get controls() {
        return this.machines.filter(({ role }) => role === "control");
    }

    get entries() {
        return this.machines.filter(({ role }) => role === "entry");
    }

    controlAddress(machine) {
        return `${machine.ip}:${this.ports.control}`;
    }

    frontAddress(machine) {
        return `${machine.ip}:${this.ports.front}`;
    }

    /** Sends a configuration until it is acknowledged; returns the time of the acknowledgement. */
    async configure(document) {
        await this.eventually("an acknowledged configuration", async () => {
            for (const machine of this.controls) {
                const res = await call(this.controlAddress(machine), "POST", "/config/put", {
                    body: JSON.stringify(document),
                    timeoutMs: 1000,
                });
                if (res?.status === 200) {
                    return true;
                }
            }
            return undefined;
        });
        this.note(`configuration ${document.version} acknowledged`);
        return performance.now();
    }

    async isReady(machine) {
        const res = await call(`${machine.ip}:${this.ports.ready}`, "GET", "/readiness", { timeoutMs: 1000 });
        return res?.status === 200;
    }

    async allReady() {
        for (const entry of this.entries) {
            await this.eventually(`${entry.name} to be ready`, async () => await this.isReady(entry) || undefined);
        }
    }

    async eventually(what, find) {
        const deadline = Date.now() + startTimeoutMs;
        while (Date.now() < deadline) {
            const found = await find();
            if (found !== undefined) {
                return found;
            }
            await sleep(pollMs);
        }
        throw new Error(`timed out waiting for ${what}`);
    }

    /** Ends all processes that were started, and removes their files. */
    async stop({ keep = false } = {}) {
        this.machines.forEach(machine => machine.signal("SIGKILL"));
        await Promise.all(this.machines.map(({ exit }) => exit));
        if (!keep) {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }
}

/** A small configuration. */
export function configuration(version, routes, services) {
    return {
        version,
        routes: routes.map(route => ({
            "name": `r-${route["path-prefix"].replaceAll("/", "")}`,
            "hostname": "ficu95.example",
            "type": "unsafe",
            "timeout-ms": 15_000,
            "target-latency-ms": 1000,
            "priority": 1,
            "max-attempts": 1,
            ...route,
        })),
        services: services.map(name => ({
            name,
            "health-path": "/health",
            "max-conns": 96,
            "protocol": "h1",
            "tls": false,
        })),
        limits: {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000,
        },
    };
}
