/** The replicated state: several slices' machines behind one log. */
import { Failure, FailureCode } from "@winchpath/core";

/** Where in the log a command stands. */
export interface CommandContext {
    readonly index: number;
    readonly term: number;
    /** Leader's clock in milliseconds since the epoch; the same at every replica, never going back. */
    readonly time: number;
}

/** State that follows from the commands alone: no clock, no chance, no I/O. */
export interface StateMachine {
    /** Applies a committed command and gives its result. */
    apply(command: Uint8Array, context: CommandContext): Uint8Array;
    snapshot(): Uint8Array;
    restore(state: Uint8Array): void;
}

/** The state of one slice; commands, results and state are JSON values. */
export interface SliceMachine {
    readonly slice: string;
    apply(command: unknown, context: CommandContext): unknown;
    snapshot(): unknown;
    restore(state: unknown): void;
}

interface Envelope {
    readonly slice: string;
    readonly command: unknown;
}

/** Hands each command to its slice. */
export class ComposedMachine implements StateMachine {
    private readonly slices: ReadonlyMap<string, SliceMachine>;

    public constructor(slices: readonly SliceMachine[]) {
        this.slices = new Map(slices.map(slice => [slice.slice, slice]));
    }

    public apply(command: Uint8Array, context: CommandContext): Uint8Array {
        const envelope = envelopeOf(command);
        if (envelope === undefined) {
            // All replicas come to the same: a command that says nothing changes nothing. To
            // throw here would keep every replica from ever applying what comes behind it.
            return encodeJson({ malformed: true });
        }
        const machine = this.slices.get(envelope.slice);
        if (machine === undefined) {
            throw Failure.of(FailureCode.invalid, `no slice ${envelope.slice}; this process is older than the log`);
        }
        return encodeJson(machine.apply(envelope.command, context) ?? {});
    }

    public snapshot(): Uint8Array {
        return encodeJson(Object.fromEntries([...this.slices].map(([name, machine]) => [name, machine.snapshot()])));
    }

    public restore(state: Uint8Array): void {
        const byName = decodeJson(state) as Record<string, unknown>;
        for (const [name, machine] of this.slices) {
            if (byName[name] !== undefined) {
                machine.restore(byName[name]);
            }
        }
    }
}

function envelopeOf(command: Uint8Array): Envelope | undefined {
    try {
        return decodeJson(command) as Envelope;
    }
    catch {
        return undefined;
    }
}

/** A command for one slice, as it goes into the log. */
export function encodeCommand(slice: string, command: unknown): Uint8Array {
    return encodeJson({ slice, command });
}

export function encodeJson(value: unknown): Uint8Array {
    return Buffer.from(JSON.stringify(value));
}

export function decodeJson(bytes: Uint8Array): unknown {
    return JSON.parse(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString());
}
