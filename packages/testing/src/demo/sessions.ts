/** A whole session with a small deployment, told line by line; the same each time, so that it can be compared. */
import { fileURLToPath } from "node:url";
import { type Deployment } from "../deployments/deployments.js";
import { runCommand } from "../deployments/processes.js";
import { book, chat } from "../standins/callers.js";
import { type ServiceFacts } from "../standins/services.js";

export const sessionSpec = {
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

const declarations = fileURLToPath(new URL("../../../../examples/demo", import.meta.url));

/** Says what happened; throws where something is not as it should be. */
export type Say = (line: string) => void;

/** Runs the session. */
export async function runSession(deployment: Deployment, say: Say): Promise<void> {
    await declare(deployment, say);
    await askModels(deployment, say);
    await bookTwice(deployment, say);
    await showRefusals(deployment, say);
}

async function declare(deployment: Deployment, say: Say): Promise<void> {
    say("$ winchpath apply -f examples/demo --wait");
    const applied = await runCommand(
        ["apply", "-f", declarations, "--wait", "--timeout", "30"],
        deployment.environment,
    );
    check(applied.code === 0, `apply ended with ${applied.code}: ${applied.stdout}${applied.stderr}`);
    say(withoutNumbers(applied.stdout.trim()));
    const again = await runCommand(["apply", "-f", declarations], deployment.environment);
    say(`again: ${again.stdout.trim()}`);
}

async function askModels(deployment: Deployment, say: Say): Promise<void> {
    for (const [index, model] of ["assist-fr", "assist-wolof", "survey-notes"].entries()) {
        const entry = deployment.entries[index];
        const answer = await chat(entry.callers, model, `question-${index}`, { tokens: 4 });
        check(answer.whole, `${model} at ${entry.name} gave ${JSON.stringify(answer)}`);
        say(`${model} through ${entry.name}: ${answer.status} ${answer.text.trim()}`);
    }
}

async function bookTwice(deployment: Deployment, say: Say): Promise<void> {
    const [first, second] = deployment.entries;
    const answers = await Promise.all([
        book(first.callers, "compound-17", "key-17", 100),
        book(second.callers, "compound-17", "key-17", 100),
    ]);
    answers.forEach(({ status, body }) => say(`booking compound-17 with key-17: ${status} ${JSON.stringify(body)}`));
    const facts = await Promise.all(["booking-1", "booking-2"].map(name => deployment.facts<ServiceFacts>(name)));
    const runs = facts.reduce((sum, { bookings }) => sum + (bookings["compound-17"] ?? 0), 0);
    say(`the service ran it ${runs} time(s)`);
    check(runs === 1, `the booking ran ${runs} times`);
}

async function showRefusals(deployment: Deployment, say: Say): Promise<void> {
    const [entry] = deployment.entries;
    const unknown = await chat(entry.callers, "no-such-model", "?");
    say(`no-such-model: ${unknown.status} ${unknown.code} ${unknown.outcome}`);
    const reused = await book(entry.callers, "compound-18", "key-17");
    say(`key-17 for another booking: ${reused.status} ${reused.body["code"]} ${reused.body["outcome"]}`);
}

/** Revisions differ from run to run. */
function withoutNumbers(text: string): string {
    return text.replace(/revision \d+/g, "revision N");
}

function check(condition: boolean, message: string): void {
    if (!condition) {
        throw new Error(message);
    }
}
