/** Replicated state machines: several state slices that share one log. */
import { Failure, FailureCode } from "@winchpath/core";

/** Position of a command in the log. */
export interface CommandContext {
    readonly index: number;
    readonly term: number;
    /** Leader's clock in milliseconds since the epoch; equal on all replicas, and never decreases within the log. */
    readonly time: number;
}

/** Deterministic state machine: its state depends on the applied commands only, not on clocks, randomness or I/O. */
export interface StateMachine {
    /** Applies a committed command and returns its result. */
    apply(command: Uint8Array, context: CommandContext): Uint8Array;
    snapshot(): Uint8Array;
    restore(state: Uint8Array): void;
}

/** State machine of one slice of the replicated state; commands, results and state are JSON values. */
export interface StateMachineSlice {
    readonly slice: string;
    apply(command: unknown, context: CommandContext): unknown;
    snapshot(): unknown;
    restore(state: unknown): void;
}

interface CommandEnvelope {
    readonly slice: string;
    readonly command: unknown;
}

/** Dispatches each command to the slice that it names. */
export class CompositeStateMachine implements StateMachine {
    private readonly slices: ReadonlyMap<string, StateMachineSlice>;

    public constructor(slices: readonly StateMachineSlice[]) {
        this.slices = new Map(slices.map(slice => [slice.slice, slice]));
    }

    public apply(command: Uint8Array, context: CommandContext): Uint8Array {
        const envelope = decodeEnvelope(command);
        if (envelope === undefined) {
            // Skipped on every replica alike; throwing would block all later entries.
            return encodeJson({ malformed: true });
        }
        const machine = this.slices.get(envelope.slice);
        if (machine === undefined) {
            throw Failure.of(
                FailureCode.invalid,
                `no slice ${envelope.slice}; this process is older than the log`,
            );
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

function decodeEnvelope(command: Uint8Array): CommandEnvelope | undefined {
    try {
        return decodeJson(command) as CommandEnvelope;
    }
    catch {
        return undefined;
    }
}

/** Encodes a command for one slice as stored in the log. */
export function encodeCommand(slice: string, command: unknown): Uint8Array {
    return encodeJson({ slice, command });
}

export function encodeJson(value: unknown): Uint8Array {
    return Buffer.from(JSON.stringify(value));
}

export function decodeJson(bytes: Uint8Array): unknown {
    return JSON.parse(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString());
}
