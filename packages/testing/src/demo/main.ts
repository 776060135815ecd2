/** `npm run demo`: starts a small deployment of real processes, and runs the demo on it. */
import { Deployment } from "../deployments/deployments.js";
import { runCli } from "../deployments/processes.js";
import { demoSpec, runDemo } from "./scenarios.js";

const print = (line: string) => process.stdout.write(`${line}\n`);

print("Starting three entry hosts in three data centres, three engines and two booking services with agents.");
const startedAt = Date.now();
const deployment = await Deployment.start(demoSpec);
try {
    print(
        `All ${deployment.entries.length + deployment.upstreams.length * 2} processes are ready after ${
            Date.now() - startedAt
        } ms.\n`,
    );
    await runDemo(deployment, print);
    print("\n$ winchpath status");
    print((await runCli(["status"], deployment.commandEnvironment)).stdout);
    print("$ winchpath timeline --limit 12");
    print((await runCli(["timeline", "--limit", "12"], deployment.commandEnvironment)).stdout);
    print(`The demo succeeded after ${Math.round((Date.now() - startedAt) / 1000)} s.`);
}
catch (err) {
    print(`\nThe demo failed: ${err instanceof Error ? err.message : String(err)}`);
    process.exitCode = 1;
}
finally {
    await deployment.stop();
}
