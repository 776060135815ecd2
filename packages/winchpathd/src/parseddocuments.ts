/** Parses the committed configuration document once per version. */
import { type EventLog } from "@winchpath/core";
import { type Configuration, type ConfigurationDocument } from "@winchpath/declarations";
import { parseCommittedDocument } from "@winchpath/platform";

export class ParsedDocument {
    private parsed: { readonly version: number; readonly configuration: Configuration | undefined; } | undefined;

    public constructor(private readonly log: EventLog) {}

    /** The document's configuration; the last one if there is no document. Logs why a document can't be parsed. */
    public configurationOf(document: ConfigurationDocument | undefined): Configuration | undefined {
        if (document !== undefined && document.version !== this.parsed?.version) {
            const { version } = document;
            const result = parseCommittedDocument(document.text);
            if (result.err) {
                this.log.warn("configuration.unreadable", { version, error: result.val.message });
            }
            this.parsed = { version, configuration: result.err ? undefined : result.val as Configuration };
        }
        return this.parsed?.configuration;
    }
}
