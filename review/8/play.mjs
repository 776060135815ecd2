/** The operator drops a model from a service while workers hold it. Are they ordered to load more than their memory holds? */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { hasTrouble, runCase } from "../lib-2/cases.mjs";
import { configuration, hostname, modelService, route } from "../lib-2/configs.mjs";
import { send, sleep, until } from "../lib-2/http.mjs";

const modelMb = 72_700;
const weightsMb = 220_000;
const names = ["m1", "m2", "m3", "m4"];
const sizes = Object.fromEntries(names.map(name => [name, modelMb]));
const askMs = 150;
const watchMs = 20_000;

await runCase(
    dirname(fileURLToPath(import.meta.url)),
    { cores: 5, fronts: 2 },
    async ({ system, record, startWorker }) => {
        const routes = [route("plan", "/stream/", "streaming", "assistants", { "max-attempts": 2 })];
        const declare = (version, declared) => {
            const models = Object.fromEntries(declared.map(name => [name, sizes[name]]));
            record.add({ event: "configuration", version, models: declared });
            return system.configure(configuration(version, routes, [modelService("assistants", models)]));
        };
        await declare(1, names);
        const workers = ["w-1", "w-2"].map(id =>
            startWorker({
                id,
                service: "assistants",
                slots: 64,
                models: ["m1", "m2", "m3"],
                catalogue: sizes,
                weightsMb,
                loadMs: 1200,
                framing: "chunked",
                pieces: 8,
                pieceMs: 150,
            })
        );
        await system.ready();
        let count = 0;
        const answers = [];
        const ask = model => {
            count += 1;
            const id = `r${count}-${model}`;
            const front = system.frontAddress(system.fronts[count % system.fronts.length]);
            record.add({ event: "sent", id, model });
            const headers = { "Model": model, "Token-Counts": "200,80", "Prompt-Prefix": `${count.toString(16)}:200` };
            return send(front, { path: "/stream/1", host: hostname, id, headers, body: "{}", deadlineMs: 5000 }).then(
                answer => {
                    const { body, ...seen } = answer;
                    record.add({ event: "answer", ...seen, bytes: body.length });
                    answers.push(answer);
                    return answer;
                },
            );
        };
        await until(async () => (await ask("m2")).status === 200 || undefined, 20_000, "the first answer");
        // Callers ask for what stays declared, and from now on for m4 too, which no worker holds.
        await declare(2, hasTrouble ? ["m2", "m3", "m4"] : names);
        await sleep(2500);
        const deadline = Date.now() + watchMs;
        const pending = [];
        const find = event => workers.flatMap(worker => worker.events).filter(each => each.event === event);
        while (Date.now() < deadline && find("overloaded").length === 0) {
            pending.push(ask("m2"), ask("m3"), ask("m4"));
            await sleep(askMs);
        }
        await Promise.all(pending);
        if (!hasTrouble && !answers.some(({ id, status }) => id.endsWith("m4") && status === 200)) {
            throw new Error("without the disruption no request for m4 was served");
        }
        return find("overloaded").map(({ worker, model, neededMb }) => {
            const begun = workers.find(({ id }) => id === worker).events.filter(({ event }) => event === "run");
            const isWhole = id => answers.some(answer => answer.id === id && answer.status === 200 && answer.complete);
            const lost = begun.map(({ id }) => id).filter(id => !isWhole(id));
            record.add({ event: "run by the worker that crashed, and not answered whole", worker, ids: lost });
            return `${worker} was ordered to load ${model}: ${neededMb} MB of ${weightsMb}; it crashed, and ${lost.length} runs were lost`;
        });
    },
);
