/** Remembers which services receive long prompts. */
import { longPromptTokens } from "@winchpath/declarations";

export class LongPromptTracker {
    private readonly seen = new Set<string>();

    /** Records a request with `promptTokens` of prompt. */
    public record(service: string, promptTokens: number): void {
        if (promptTokens >= longPromptTokens) {
            this.seen.add(service);
        }
    }

    /** Services that have received a prompt of at least {@link longPromptTokens}. */
    public get services(): ReadonlySet<string> {
        return this.seen;
    }
}
