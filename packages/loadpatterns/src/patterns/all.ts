/** All patterns. */
import { failingEnginesPattern } from "./failingengines.js";
import { limitedEnginesPattern } from "./limitedengines.js";
import { movingDemandPattern } from "./movingdemand.js";
import { type Pattern } from "./patterns.js";
import { risingModelsPattern } from "./risingmodels.js";

export const patterns: readonly Pattern[] = [
    failingEnginesPattern,
    limitedEnginesPattern,
    movingDemandPattern,
    risingModelsPattern,
];
