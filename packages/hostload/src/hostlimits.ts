/** Resource limits of a process, and the parts of them that its components may use. */

/** Resources of a process; undefined where the settings name none. */
export interface HostLimits {
    /** Share of one core. */
    readonly processorShare: number | undefined;
    /** In megabytes of 1,000,000 bytes. */
    readonly memoryMb: number | undefined;
    readonly fileDescriptors: number | undefined;
}

export const bytesPerMb = 1_000_000;

/**
 * Share of the memory limit that bytes held for clients may take. The process itself needs a good half of the smallest
 * limits, and the garbage collector needs room beside it.
 */
const heldMemoryShare = 0.25;

/**
 * Share of the memory limit that all connections together may hold: requests that arrive or are under way, and output. What
 * is read into buffers before a request can be refused comes on top, and so do buffers that the runtime has yet to collect.
 */
const connectionMemoryShare = 0.125;

/** Bytes that may be held because of connections; undefined if the settings name no memory limit. */
export function connectionBytesBound({ memoryMb }: Pick<HostLimits, "memoryMb">): number | undefined {
    return memoryMb === undefined ? undefined : memoryMb * bytesPerMb * connectionMemoryShare;
}

/** Bytes that may be held for clients; undefined if the settings name no memory limit. */
export function heldBytesBound({ memoryMb }: Pick<HostLimits, "memoryMb">): number | undefined {
    return memoryMb === undefined ? undefined : memoryMb * bytesPerMb * heldMemoryShare;
}
