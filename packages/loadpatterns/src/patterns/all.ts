/** The load patterns that experiments can run. */
import { contendedCapacityPattern } from "./contendedcapacity.js";
import { failingEnginesPattern } from "./failingengines.js";
import { limitedEnginesPattern } from "./limitedengines.js";
import { movingDemandPattern } from "./movingdemand.js";
import { type LoadPattern } from "./patterns.js";
import { rareModelsPattern } from "./raremodels.js";
import { risingModelsPattern } from "./risingmodels.js";
import { popularPrefixPattern, streamMixesPattern } from "./streammixes.js";

export const patterns: readonly LoadPattern[] = [
    contendedCapacityPattern,
    failingEnginesPattern,
    limitedEnginesPattern,
    movingDemandPattern,
    rareModelsPattern,
    risingModelsPattern,
    streamMixesPattern,
    popularPrefixPattern,
];
