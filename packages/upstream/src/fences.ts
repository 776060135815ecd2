/** Fencing tokens, ordered by the leader's term, then by the log index of the decision. */
import { create } from "@bufbuild/protobuf";
import { type Fence, FenceSchema } from "./gen/winchpath/upstream/v1/upstream_pb.js";

export function fenceOf(term: bigint | number, index: bigint | number): Fence {
    return create(FenceSchema, { term: BigInt(term), index: BigInt(index) });
}

/** Compares like a sort function: negative if `a` is older than `b`, 0 if equal, positive if newer. */
export function compareFences(a: Fence, b: Fence): number {
    return Number(a.term === b.term ? a.index - b.index : a.term - b.term);
}
