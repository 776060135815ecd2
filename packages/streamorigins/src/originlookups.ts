/** Asks members of the control group for the record of one stream. */
import { Deferred, sleep, startFairTimer } from "@winchpath/core";
import { type KeyReplicas } from "./keyreplicas.js";
import { type StreamOrigin } from "./origins.js";

/** Time after which the other members are asked too if a replica hasn't answered, in milliseconds. */
const hedgeMs = 60;

/** Asks the member at a URL; rejects if it doesn't answer. */
export type AskMember = (url: string, key: Uint8Array) => Promise<string | undefined>;

/** Resolves to the first record found, after `timeoutMs` at most. Asks the key's replicas, then the other members. */
export async function lookUpOrigin(
    key: Uint8Array,
    replicas: KeyReplicas,
    askMember: AskMember,
    timeoutMs: number,
): Promise<StreamOrigin> {
    const result = new Deferred<StreamOrigin>();
    const finished = new AbortController();
    const replicaUrls = replicas.of(key);
    const answeredUrls = new Set<string>();
    const ask = async (url: string): Promise<void> => {
        try {
            const softwareVersion = await askMember(url, key);
            answeredUrls.add(url);
            if (softwareVersion !== undefined) {
                result.resolve({ kind: "known", softwareVersion });
            }
        }
        catch {
            // Counts as not answered, which the result's reason tells.
        }
    };
    const giveUp = () => {
        const areAllAnswered = replicaUrls.length > 0 && replicaUrls.every(url => answeredUrls.has(url));
        result.resolve({ kind: "unknown", reason: areAllAnswered ? "not-found" : "unreachable" });
    };
    const askAll = async (): Promise<void> => {
        const replicaAnswers = Promise.all(replicaUrls.map(ask));
        await Promise.race([replicaAnswers, sleep(hedgeMs, finished.signal)]);
        const otherUrls = replicas.urls.filter(url => !replicaUrls.includes(url));
        await Promise.all([replicaAnswers, ...(finished.signal.aborted ? [] : otherUrls.map(ask))]);
        giveUp();
    };
    const timer = startFairTimer(giveUp, timeoutMs);
    void askAll();
    const origin = await result.promise;
    timer.cancel();
    finished.abort();
    return origin;
}
