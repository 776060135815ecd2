/** The replicated part of the quarantine. */
import Type, { type Static } from "typebox";
import Value from "typebox/value";

/** Sets the key of the fleet's fingerprints; the first one that is set holds. */
export const SetKey = Type.Object({
    kind: Type.Literal("set-key"),
    /** Base64. */
    key: Type.String({ minLength: 1 }),
});
export type SetKey = Static<typeof SetKey>;

const State = Type.Object({ key: Type.Optional(Type.String()) });

/** A slice of the replicated state; a command that it can't read changes nothing. */
export class CrashBook {
    public readonly slice = "quarantine";
    private held: Uint8Array | undefined;

    /** Of the fleet's fingerprints; undefined until a leader has set one. */
    public get key(): Uint8Array | undefined {
        return this.held;
    }

    public apply(command: unknown): object {
        if (Value.Check(SetKey, command)) {
            this.held ??= Buffer.from(command.key, "base64");
        }
        return {};
    }

    public snapshot(): unknown {
        return this.held === undefined ? {} : { key: Buffer.from(this.held).toString("base64") };
    }

    public restore(state: unknown): void {
        const key = Value.Check(State, state) ? state.key : undefined;
        this.held = key === undefined ? undefined : Buffer.from(key, "base64");
    }
}
