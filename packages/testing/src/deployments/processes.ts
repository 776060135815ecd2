/** Child processes that tests start, signal and stop. */
import { Deferred, withTimeout } from "@winchpath/core";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";

const readyTimeoutMs = 30_000;
const daemonScript = fileURLToPath(import.meta.resolve("winchpathd")).replace(/index\.js$/, "main.js");
const cliScript = fileURLToPath(import.meta.resolve("winchpath")).replace(/index\.js$/, "main.js");
const mockScript = fileURLToPath(new URL("../standins/main.js", import.meta.url));
const crowdScript = fileURLToPath(new URL("../crowds/main.js", import.meta.url));

/** Children that are still running; they must not outlive the tests that started them. */
const runningChildren = new Set<ChildProcess>();
const interruptSignals = ["SIGTERM", "SIGINT", "SIGHUP"] as const;
const exitCodeInterrupted = 130;

process.once("exit", () => runningChildren.forEach(child => child.kill("SIGKILL")));
interruptSignals.forEach(signal => process.once(signal, () => process.exit(exitCodeInterrupted)));

export class TestProcess {
    public output = "";
    private exited = false;
    private exitExpected = false;
    private readonly ready = new Deferred<void>();

    private constructor(private readonly child: ChildProcess, public readonly name: string) {
        const appendOutput = (chunk: Buffer) => {
            this.output += String(chunk);
            if (/is ready/.test(this.output)) {
                this.ready.resolve();
            }
        };
        child.stdout?.on("data", appendOutput);
        child.stderr?.on("data", appendOutput);
        runningChildren.add(child);
        child.once("exit", code => {
            runningChildren.delete(child);
            this.exited = true;
            if (!this.exitExpected) {
                process.stderr.write(`${name} exited unexpectedly with code ${code}: ${this.output}\n`);
            }
            this.ready.reject(new Error(`${name} exited with code ${code}: ${this.output}`));
        });
        this.ready.promise.catch(() => undefined);
    }

    /** @param nodeFlags flags of the runtime, such as a bound of its heap */
    public static startDaemon(settings: string, name: string, nodeFlags: readonly string[] = []): TestProcess {
        const args = [...nodeFlags, daemonScript, "--settings", settings];
        return new TestProcess(spawn(process.execPath, args, spawnOptions), name);
    }

    /**
     * Starts a platform process, which reads the path of its settings file from the environment.
     *
     * @param variables further variables of its environment
     * @param nodeFlags flags of the runtime, such as a bound of its heap
     */
    public static startPlatform(
        role: string,
        settings: string,
        name: string,
        variables: Readonly<Record<string, string>> = {},
        nodeFlags: readonly string[] = [],
    ): TestProcess {
        const env = { ...process.env, ...variables, WINCHPATH_SETTINGS: settings };
        const args = [...nodeFlags, daemonScript, "--platform", role];
        return new TestProcess(spawn(process.execPath, args, { ...spawnOptions, env }), name);
    }

    /** Starts a crowd of clients; `spec` is a `CrowdSpec` as JSON. */
    public static startCrowd(spec: string): TestProcess {
        return new TestProcess(spawn(process.execPath, [crowdScript, spec], spawnOptions), "crowd");
    }

    public static startMock(kind: string, address: string, port: number, settings: object): TestProcess {
        const args = [mockScript, kind, address, String(port), JSON.stringify(settings)];
        return new TestProcess(spawn(process.execPath, args, spawnOptions), `${kind}:${port}`);
    }

    /** Waits until the process prints that it is ready. */
    public async waitUntilReady(): Promise<this> {
        await withTimeout(this.ready.promise, readyTimeoutMs, `the start of ${this.name}`);
        return this;
    }

    public get pid(): number {
        return this.child.pid!;
    }

    public get running(): boolean {
        return !this.exited;
    }

    /** Whether the process exited without being asked to. */
    public get exitedUnexpectedly(): boolean {
        return this.exited && !this.exitExpected;
    }

    public signal(signal: NodeJS.Signals): void {
        this.child.kill(signal);
    }

    /** Sends SIGTERM, and returns the exit code. */
    public async stop(): Promise<number | undefined> {
        return this.terminate("SIGTERM");
    }

    /** Waits for the process to exit on its own, and returns the exit code. */
    public async waitForExit(): Promise<number | undefined> {
        this.exitExpected = true;
        if (this.running) {
            await once(this.child, "close");
        }
        return this.child.exitCode ?? undefined;
    }

    public async kill(): Promise<void> {
        await this.terminate("SIGKILL");
    }

    private async terminate(signal: NodeJS.Signals): Promise<number | undefined> {
        this.exitExpected = true;
        if (this.running) {
            const exited = once(this.child, "exit");
            // A stopped process handles SIGTERM only after it continues.
            this.child.kill("SIGCONT");
            this.child.kill(signal);
            await exited;
        }
        return this.child.exitCode ?? undefined;
    }
}

const spawnOptions = { stdio: ["ignore", "pipe", "pipe"] as ["ignore", "pipe", "pipe"] };

/** Runs the `winchpath` command to its end; returns the exit code and output. */
export async function runCli(args: readonly string[], env: Record<string, string> = {}) {
    const child = spawn(process.execPath, [cliScript, ...args], { ...spawnOptions, env: { ...process.env, ...env } });
    let stdout = "";
    let stderr = "";
    child.stdout.on("data", chunk => stdout += String(chunk));
    child.stderr.on("data", chunk => stderr += String(chunk));
    await once(child, "close");
    return { code: child.exitCode, stdout, stderr };
}
