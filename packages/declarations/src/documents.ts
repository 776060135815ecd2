/** The replicated value behind a configuration that comes as one document: the highest version wins. */
import { Notifier } from "@winchpath/core";

/** A configuration as its author wrote it. */
export interface ConfigurationDocument {
    readonly version: number;
    /** What was sent, to the letter: a read gives it back unchanged. */
    readonly text: string;
}

/** What became of a document that was proposed. */
export interface DocumentResult {
    /** Version in force after it. */
    readonly version: number;
    /** Whether the document took effect; false where the version held was as high. */
    readonly replaced: boolean;
}

/** A slice of the replicated state. Its command is a {@link ConfigurationDocument}, checked before it was proposed; its result a {@link DocumentResult}. */
export class Documents {
    public readonly slice = "documents";
    /** Notified when another document is in force. */
    public readonly changed = new Notifier();
    private held: ConfigurationDocument | undefined;

    public get current(): ConfigurationDocument | undefined {
        return this.held;
    }

    public apply(command: unknown): DocumentResult {
        const document = command as ConfigurationDocument;
        const replaced = this.held === undefined || document.version > this.held.version;
        if (replaced) {
            this.held = { version: document.version, text: document.text };
            this.changed.notify();
        }
        return { version: this.held!.version, replaced };
    }

    public snapshot(): unknown {
        return this.held ?? {};
    }

    public restore(state: unknown): void {
        const document = state as Partial<ConfigurationDocument>;
        this.held = document.text === undefined ? undefined : document as ConfigurationDocument;
        this.changed.notify();
    }
}
