/** Asks one member of the control group for records; calls that come in within a short time share a message. */
import { Deferred, sleep } from "@winchpath/core";
import { type PeerClients } from "@winchpath/rpc";
import { StreamOriginService } from "./gen/winchpath/streamorigins/v1/streamorigins_pb.js";
import { maxBatchSize } from "./originservices.js";

/** Time for which a question waits for others, in milliseconds. */
const batchMs = 2;

interface Question {
    readonly key: Uint8Array;
    readonly answer: Deferred<string | undefined>;
}

export class RecordFinder {
    private questions: Question[] = [];

    public constructor(
        private readonly url: string,
        private readonly clients: PeerClients,
        private readonly timeoutMs: number,
    ) {}

    /** Resolves to the recorded version, or undefined if there is no record; rejects if the member doesn't answer. */
    public find(key: Uint8Array): Promise<string | undefined> {
        const question = { key, answer: new Deferred<string | undefined>() };
        this.questions.push(question);
        if (this.questions.length === 1) {
            void sleep(batchMs).then(() => this.ask());
        }
        return question.answer.promise;
    }

    private ask(): void {
        const { questions } = this;
        this.questions = [];
        for (let start = 0; start < questions.length; start += maxBatchSize) {
            void this.askBatch(questions.slice(start, start + maxBatchSize));
        }
    }

    private async askBatch(questions: readonly Question[]): Promise<void> {
        try {
            const client = this.clients.client(StreamOriginService, this.url);
            const keys = questions.map(({ key }) => key);
            const { origins } = await client.find({ keys }, { timeoutMs: this.timeoutMs });
            questions.forEach(({ answer }, index) => answer.resolve(origins[index].softwareVersion));
        }
        catch (err) {
            questions.forEach(({ answer }) => answer.reject(err as Error));
        }
    }
}
