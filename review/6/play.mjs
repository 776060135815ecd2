/**
 * Hosts of the core lose their disks, two at a time, each pair well after the one before has been repaired. Is what was
 * acknowledged still there afterwards?
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { hasTrouble, runCase } from "../lib-2/cases.mjs";
import { configuration, plainService, route } from "../lib-2/configs.mjs";
import { call, sleep } from "../lib-2/http.mjs";

/** Time without a disruption after the start. */
const calmMs = 34_000;
const downMs = 1000;
/** Time between the return of two hosts and the next loss: catch-up-s, and a second more. */
const repairMs = 5000;
/** Time from the start after which no further disk is lost. */
const lossesEndMs = 76_000;
/** Time in which the configuration is read at the end: catch-up-s and recovery-s, and 4 s more. */
const readMs = 20_000;

await runCase(dirname(fileURLToPath(import.meta.url)), { cores: 5, fronts: 2 }, async ({ system, record }) => {
    const startedAt = Date.now();
    const document = version =>
        configuration(version, [route("confirm", "/book/", "unsafe", "booking-api")], [plainService("booking-api")]);
    let acknowledged = 1;
    await system.configure(document(acknowledged));
    record.add({ event: "acknowledged", version: acknowledged });
    await system.ready();
    await sleep(calmMs);

    /** The host to which a front redirects the operator. */
    const leading = async () => {
        const res = await call(`${system.fronts[0].ip}:${system.ports.control}`, "GET", "/config/get").catch(() =>
            undefined
        );
        const { host } = new URL(res?.headers.location ?? "http://none");
        return system.cores.find(({ ip }) => host.startsWith(`${ip}:`));
    };
    /** Reads the configuration at any host of the core; undefined if none answers. */
    const seen = new Map();
    const read = async () => {
        for (const [index, address] of system.controlAddresses.entries()) {
            const res = await call(address, "GET", "/config/get").catch(err => ({ status: 0, body: err.message }));
            const answer = `${res.status} ${res.status === 200 ? JSON.parse(res.body).version : res.body.slice(0, 80)}`;
            if (seen.get(index) !== answer) {
                seen.set(index, answer);
                record.add({ event: "answer to a read", host: `core-${index}`, answer });
            }
            if (res.status === 200) {
                return JSON.parse(res.body).version;
            }
        }
        return undefined;
    };
    const put = async version => {
        for (const address of system.controlAddresses) {
            const res = await call(address, "POST", "/config/put", document(version)).catch(() => undefined);
            if (res?.status === 200) {
                acknowledged = version;
                record.add({ event: "acknowledged", version });
                return;
            }
        }
    };

    let next = 0;
    while (Date.now() - startedAt < lossesEndMs) {
        await put(acknowledged + 1);
        const leader = await leading();
        if (leader === undefined) {
            break;
        }
        // after_ack_wipe: "counted machines drawn by lot"; here the other hosts in turn.
        const others = system.cores.filter(host => host !== leader);
        const lost = [others[next % others.length], others[(next + 1) % others.length]];
        next += 2;
        if (hasTrouble) {
            lost.forEach(host => host.signal("SIGKILL"));
            await Promise.all(lost.map(host => host.exited));
            lost.forEach(host => host.wipe());
            record.add({ event: "lost", hosts: lost.map(({ name }) => name), leader: leader.name });
            await sleep(downMs);
            lost.forEach(host => host.start(false));
            record.add({ event: "back with empty disks" });
        }
        await sleep(repairMs);
    }
    const deadline = Date.now() + readMs;
    let version;
    while (version === undefined && Date.now() < deadline) {
        version = await read();
        await sleep(200);
    }
    const running = system.hosts.filter(host => host.running).map(({ name }) => name);
    record.add({ event: "read", version: version ?? "none", running });
    for (const host of system.cores) {
        host.events("members.changed").forEach(({ time, detail }) =>
            record.add({ at: time, host: host.name, members: detail })
        );
    }
    return version !== undefined && version >= acknowledged
        ? []
        : [`version ${acknowledged} was acknowledged; ${readMs / 1000} s after the last return, ${
            version ?? "none"
        } is read`];
});
