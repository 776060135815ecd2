/** Compares and describes the states of an upstream. */
import { type Upstream, UpstreamState } from "./gen/winchpath/fleet/v1/fleet_pb.js";

/** Whether a change means that an upstream, or one of its models, must get fewer requests. */
export function reducesTraffic(before: Upstream, now: Upstream): boolean {
    if (now.failingPercent > before.failingPercent || (now.limited && !before.limited)) {
        return true;
    }
    const drains = before.state !== now.state && now.state === UpstreamState.DRAINING;
    const wasUnloading = (name: string) => before.models.some(model => model.name === name && model.leaving);
    return drains || now.models.some(model => model.leaving && !wasUnloading(model.name));
}

/** Fields that describe an upstream in the log. */
export function upstreamLogFields(upstream: Upstream) {
    return {
        upstream: upstream.id,
        service: upstream.service,
        address: upstream.address,
        dataCentre: upstream.dataCentre,
        softwareVersion: upstream.softwareVersion,
        state: upstream.state === UpstreamState.DRAINING ? "draining" : "ready",
        models: upstream.models.map(model => model.name),
    };
}
