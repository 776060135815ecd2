/** Replicated state of the configuration document. The highest version wins. */
import { Notifier, steadyNow } from "@winchpath/core";
import { type DeclaredModelSize, ModelSizeHistory } from "./modelsizes.js";

/** A configuration document with its version. */
export interface ConfigurationDocument {
    readonly version: number;
    /** The text exactly as submitted; reads return it unchanged. */
    readonly text: string;
}

/** A document as it is proposed, with what replicas need of its content: they don't parse it. */
export interface ProposedDocument extends ConfigurationDocument {
    /** Sizes of the models that it declares; absent in commands of earlier releases. */
    readonly modelSizes?: readonly DeclaredModelSize[];
}

/** Result of proposing a document. */
export interface DocumentResult {
    /** Version in force after the proposal. */
    readonly version: number;
    /** Whether the document took effect; false if the current version is at least as high. */
    readonly replaced: boolean;
}

/**
 * A slice of the replicated state. Commands are {@link ProposedDocument}s, validated before they are proposed;
 * results are {@link DocumentResult}s.
 */
export class ConfigurationState {
    public readonly slice = "documents";
    /** Notified when the document has been replaced. */
    public readonly changed = new Notifier();
    /** Sizes of models that this document and earlier ones have declared. */
    public readonly modelSizes = new ModelSizeHistory();
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
        const document = command as ProposedDocument;
        const replaced = this.document === undefined || document.version > this.document.version;
        if (replaced) {
            this.document = { version: document.version, text: document.text };
            this.modelSizes.add(document.modelSizes ?? []);
            this.appliedAt = steadyNow();
            this.changed.notify();
        }
        return { version: this.document!.version, replaced };
    }

    public snapshot(): unknown {
        return this.document === undefined ? {} : { ...this.document, modelSizes: this.modelSizes.list() };
    }

    public restore(state: unknown): void {
        const { version, text, modelSizes = [] } = state as Partial<ProposedDocument>;
        this.document = version === undefined || text === undefined ? undefined : { version, text };
        this.modelSizes.restore(modelSizes);
        this.appliedAt = steadyNow();
        this.changed.notify();
    }
}
