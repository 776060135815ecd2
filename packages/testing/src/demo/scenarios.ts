/** The demo scenario. Its output is deterministic, so that a test can compare it with a golden file. */
import { fileURLToPath } from "node:url";
import { type Deployment } from "../deployments/deployments.js";
import { runCli } from "../deployments/processes.js";
import { createBooking, sendChat } from "../standins/callers.js";
import { type ServiceStats } from "../standins/services.js";

export const demoSpec = {
    dataCentres: ["plateau", "pikine", "rufisque"],
    engines: [
        { name: "assistant-1", dataCentre: "plateau", memory: "24 GiB" },
        { name: "assistant-2", dataCentre: "pikine", memory: "16 GiB" },
        { name: "assistant-3", dataCentre: "rufisque", memory: "16 GiB" },
    ],
    services: [
        { name: "booking-1", dataCentre: "plateau", service: "booking-api" },
        { name: "booking-2", dataCentre: "pikine", service: "booking-api" },
    ],
};

const manifestFolder = fileURLToPath(new URL("../../../../examples/demo", import.meta.url));

export type PrintLine = (line: string) => void;

/** Runs the scenario, and prints its output; throws if a result is wrong. */
export async function runDemo(deployment: Deployment, print: PrintLine): Promise<void> {
    await applyManifests(deployment, print);
    await chatWithModels(deployment, print);
    await repeatBooking(deployment, print);
    await showRejections(deployment, print);
}

async function applyManifests(deployment: Deployment, print: PrintLine): Promise<void> {
    print("$ winchpath apply -f examples/demo --wait");
    const applied = await runCli(
        ["apply", "-f", manifestFolder, "--wait", "--timeout", "30"],
        deployment.commandEnvironment,
    );
    assert(applied.code === 0, `apply exited with code ${applied.code}: ${applied.stdout}${applied.stderr}`);
    print(maskRevisions(applied.stdout.trim()));
    const again = await runCli(["apply", "-f", manifestFolder], deployment.commandEnvironment);
    print(`again: ${again.stdout.trim()}`);
}

async function chatWithModels(deployment: Deployment, print: PrintLine): Promise<void> {
    for (const [index, model] of ["assist-fr", "assist-wolof", "survey-notes"].entries()) {
        const entry = deployment.entries[index];
        const answer = await sendChat(entry.callersUrl, model, `question-${index}`, { tokens: 4 });
        assert(answer.isComplete, `incomplete response of ${model} through ${entry.name}: ${JSON.stringify(answer)}`);
        print(`${model} through ${entry.name}: ${answer.status} ${answer.text.trim()}`);
    }
}

async function repeatBooking(deployment: Deployment, print: PrintLine): Promise<void> {
    const [first, second] = deployment.entries;
    const answers = await Promise.all([
        createBooking(first.callersUrl, "compound-17", "key-17", 100),
        createBooking(second.callersUrl, "compound-17", "key-17", 100),
    ]);
    answers.forEach(({ status, body }) => print(`booking compound-17 with key-17: ${status} ${JSON.stringify(body)}`));
    const stats = await Promise.all(["booking-1", "booking-2"].map(name => deployment.fetchStats<ServiceStats>(name)));
    const runs = stats.reduce((sum, { bookings }) => sum + (bookings["compound-17"] ?? 0), 0);
    print(`the service ran it ${runs} time(s)`);
    assert(runs === 1, `the booking ran ${runs} times instead of once`);
}

async function showRejections(deployment: Deployment, print: PrintLine): Promise<void> {
    const [entry] = deployment.entries;
    const unknown = await sendChat(entry.callersUrl, "no-such-model", "?");
    print(`no-such-model: ${unknown.status} ${unknown.code} ${unknown.outcome}`);
    const reused = await createBooking(entry.callersUrl, "compound-18", "key-17");
    print(`key-17 for another booking: ${reused.status} ${reused.body["code"]} ${reused.body["outcome"]}`);
}

/** Masks revision numbers, which differ between runs. */
function maskRevisions(text: string): string {
    return text.replace(/revision \d+/g, "revision N");
}

function assert(condition: boolean, message: string): void {
    if (!condition) {
        throw new Error(message);
    }
}
