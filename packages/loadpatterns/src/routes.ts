/** Routes of the simulated fleets. */
import { type Route } from "@winchpath/declarations";

/** Interactive summaries with a short objective and a short timeout. */
export const summaries: Route = {
    name: "summaries",
    host: "h.example",
    prefix: "/summaries/",
    kind: "streaming",
    timeoutMs: 5029,
    objectiveMs: 805,
    pauseMs: 400,
    priority: 1,
    maxAttempts: 2,
    sticky: false,
    resumable: true,
    targets: [{ service: "s", weight: 1 }],
};

/** Background digests with a lower priority and a long objective. */
export const digests: Route = {
    ...summaries,
    name: "digests",
    prefix: "/digests/",
    timeoutMs: 15_012,
    objectiveMs: 6005,
    priority: 2,
};

/** Interactive plans with long outputs: a short objective and a long timeout. */
export const installPlans: Route = {
    ...summaries,
    name: "plans",
    prefix: "/plans/",
    timeoutMs: 15_069,
    objectiveMs: 804,
};
