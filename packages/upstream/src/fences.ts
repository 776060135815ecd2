/** Fencing numbers: the leader's term, then the log index of the decision. */
import { create } from "@bufbuild/protobuf";
import { type Fence, FenceSchema } from "./gen/winchpath/upstream/v1/upstream_pb.js";

export function fenceOf(term: bigint | number, index: bigint | number): Fence {
    return create(FenceSchema, { term: BigInt(term), index: BigInt(index) });
}

/** Below, at or above zero as `a` is older than, the same as or newer than `b`. */
export function compareFences(a: Fence, b: Fence): number {
    return Number(a.term === b.term ? a.index - b.index : a.term - b.term);
}
