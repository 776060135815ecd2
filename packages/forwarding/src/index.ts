export {
    type BrokenEnd,
    type CompleteEnd,
    type ConnectionState,
    EventSplitter,
    framingOf,
    judgeResponseEnd,
    type ResponseEnd,
    type ResponseEndFacts,
    ResponseFraming,
    type StreamEndFacts,
} from "@winchpath/core";
export * from "./activefeatures.js";
export * from "./admissioncontrollers.js";
export * from "./attemptoutcomes.js";
export * from "./attempts.js";
export * from "./attemptsenders.js";
export * from "./bufferedresponses.js";
export * from "./clientlisteners.js";
export * from "./confirmationpolicies.js";
export * from "./connectiongates.js";
export * from "./endpointtables.js";
export * from "./enginecapacities.js";
export * from "./failurecosts.js";
export * from "./fairshares.js";
export * from "./forwarders.js";
export * from "./headercodecs.js";
export * from "./hostguards.js";
export * from "./inboundrequests.js";
export * from "./interferencecosts.js";
export * from "./laxityorders.js";
export * from "./loadfacts.js";
export * from "./loadwaitpolicies.js";
export * from "./localresponses.js";
export * from "./outcomerecorders.js";
export * from "./plainservicecosts.js";
export * from "./prioritylevels.js";
export * from "./quarantines.js";
export * from "./reservations.js";
export * from "./responders.js";
export * from "./retrypolicies.js";
export * from "./routetables.js";
export * from "./selectioncosts.js";
export * from "./sharedadmissions.js";
export * from "./silences.js";
export * from "./streaminterferences.js";
export * from "./streamversions.js";
export * from "./throughputs.js";
export * from "./upstreamassigners.js";
export * from "./upstreamendpoints.js";
export * from "./upstreampaces.js";
export * from "./upstreamselectors.js";
export * from "./upstreamsignals.js";
export * from "./waitpolicies.js";
export * from "./waitqueues.js";
