/** `npm run demo`: a small deployment of real processes, from the first declaration to the time line. */
import { Deployment } from "../deployments/deployments.js";
import { runCommand } from "../deployments/processes.js";
import { runSession, sessionSpec } from "./sessions.js";

const say = (line: string) => process.stdout.write(`${line}\n`);

say("Starting three entry hosts in three data centres, three engines and two booking services, with their agents.");
const startedAt = Date.now();
const deployment = await Deployment.start(sessionSpec);
try {
    say(`All ${deployment.entries.length + deployment.upstreams.length * 2} processes serve after ${
        Date.now() - startedAt
    } ms.\n`);
    await runSession(deployment, say);
    say("\n$ winchpath status");
    say((await runCommand(["status"], deployment.environment)).stdout);
    say("$ winchpath timeline --limit 12");
    say((await runCommand(["timeline", "--limit", "12"], deployment.environment)).stdout);
    say(`The demo has ended well after ${Math.round((Date.now() - startedAt) / 1000)} s.`);
}
catch (err) {
    say(`\nThe demo failed: ${err instanceof Error ? err.message : String(err)}`);
    process.exitCode = 1;
}
finally {
    await deployment.stop();
}
