/** Real processes that tests start, freeze, kill and stop. */
import { Deferred, withTimeout } from "@winchpath/core";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";

const readyTimeoutMs = 30_000;
const daemon = fileURLToPath(import.meta.resolve("winchpathd")).replace(/index\.js$/, "main.js");
const commandLine = fileURLToPath(import.meta.resolve("winchpath")).replace(/index\.js$/, "main.js");
const standIn = fileURLToPath(new URL("../standins/main.js", import.meta.url));

export class Process {
    public output = "";
    private exited = false;
    private ending = false;
    private readonly ready = new Deferred<void>();

    private constructor(private readonly child: ChildProcess, public readonly name: string) {
        const take = (chunk: Buffer) => {
            this.output += String(chunk);
            if (/is ready/.test(this.output)) {
                this.ready.resolve();
            }
        };
        child.stdout?.on("data", take);
        child.stderr?.on("data", take);
        child.once("exit", code => {
            this.exited = true;
            if (!this.ending) {
                process.stderr.write(`${name} ended by itself with ${code}: ${this.output}\n`);
            }
            this.ready.reject(new Error(`${name} ended with ${code}: ${this.output}`));
        });
        this.ready.promise.catch(() => undefined);
    }

    public static daemon(settings: string, name: string): Process {
        return new Process(spawn(process.execPath, [daemon, "--settings", settings], options), name);
    }

    /** A process on the users' platform, whose settings file is named by a variable. */
    public static platform(role: string, settings: string, name: string): Process {
        const env = { ...process.env, WINCHPATH_SETTINGS: settings };
        return new Process(spawn(process.execPath, [daemon, "--platform", role], { ...options, env }), name);
    }

    public static standIn(kind: string, address: string, port: number, settings: object): Process {
        const args = [standIn, kind, address, String(port), JSON.stringify(settings)];
        return new Process(spawn(process.execPath, args, options), `${kind}:${port}`);
    }

    /** Waits until it says that it is ready. */
    public async untilReady(): Promise<this> {
        await withTimeout(this.ready.promise, readyTimeoutMs, `the start of ${this.name}`);
        return this;
    }

    public get pid(): number {
        return this.child.pid!;
    }

    public get running(): boolean {
        return !this.exited;
    }

    /** Whether it has ended though nobody ended it. */
    public get endedByItself(): boolean {
        return this.exited && !this.ending;
    }

    /** Sends a signal. */
    public signal(signal: NodeJS.Signals): void {
        this.child.kill(signal);
    }

    /** Stops it as planned; gives the exit code. */
    public async stop(): Promise<number | undefined> {
        return this.end("SIGTERM");
    }

    /** Waits until it ends by itself; gives the exit code. */
    public async ended(): Promise<number | undefined> {
        this.ending = true;
        if (this.running) {
            await once(this.child, "close");
        }
        return this.child.exitCode ?? undefined;
    }

    public async kill(): Promise<void> {
        await this.end("SIGKILL");
    }

    private async end(signal: NodeJS.Signals): Promise<number | undefined> {
        this.ending = true;
        if (this.running) {
            const exited = once(this.child, "exit");
            this.child.kill("SIGCONT");
            this.child.kill(signal);
            await exited;
        }
        return this.child.exitCode ?? undefined;
    }
}

const options = { stdio: ["ignore", "pipe", "pipe"] as ["ignore", "pipe", "pipe"] };

/** Runs the command line; gives its exit code and output. */
export async function runCommand(args: readonly string[], env: Record<string, string> = {}) {
    const child = spawn(process.execPath, [commandLine, ...args], { ...options, env: { ...process.env, ...env } });
    let stdout = "";
    let stderr = "";
    child.stdout.on("data", chunk => stdout += String(chunk));
    child.stderr.on("data", chunk => stderr += String(chunk));
    await once(child, "close");
    return { code: child.exitCode, stdout, stderr };
}
