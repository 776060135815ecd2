/** Replicated state of the configuration document. The highest version wins. */
import { Notifier, steadyNow } from "@winchpath/core";

/** A configuration document with its version. */
export interface ConfigurationDocument {
    readonly version: number;
    /** The text exactly as submitted; reads return it unchanged. */
    readonly text: string;
}

/** Result of proposing a document. */
export interface DocumentResult {
    /** Version in force after the proposal. */
    readonly version: number;
    /** Whether the document took effect; false if the current version is at least as high. */
    readonly replaced: boolean;
}

/**
 * A slice of the replicated state. Commands are {@link ConfigurationDocument}s, validated before they are proposed;
 * results are {@link DocumentResult}s.
 */
export class ConfigurationState {
    public readonly slice = "documents";
    /** Notified when the document has been replaced. */
    public readonly changed = new Notifier();
    private document: ConfigurationDocument | undefined;
    private appliedAt = steadyNow();

    public get current(): ConfigurationDocument | undefined {
        return this.document;
    }

    /** Milliseconds since the current document was applied on this host. */
    public get ageMs(): number {
        return steadyNow() - this.appliedAt;
    }

    public apply(command: unknown): DocumentResult {
        const document = command as ConfigurationDocument;
        const replaced = this.document === undefined || document.version > this.document.version;
        if (replaced) {
            this.document = { version: document.version, text: document.text };
            this.appliedAt = steadyNow();
            this.changed.notify();
        }
        return { version: this.document!.version, replaced };
    }

    public snapshot(): unknown {
        return this.document ?? {};
    }

    public restore(state: unknown): void {
        const document = state as Partial<ConfigurationDocument>;
        this.document = document.text === undefined ? undefined : document as ConfigurationDocument;
        this.appliedAt = steadyNow();
        this.changed.notify();
    }
}
