/** Tracks the features that are active at this entry, logs changes and exports them as a metric. */
import { type EventLog, type Metrics } from "@winchpath/core";
import {
    activeFeatures,
    type Configuration,
    type Feature,
    type FeatureFacts,
    featureNames,
} from "@winchpath/declarations";

const none: ReadonlySet<Feature> = new Set();

export class ActiveFeatures {
    private active = none;

    /** `facts`: returns the current facts beyond the configuration. */
    public constructor(
        private readonly facts: () => FeatureFacts,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {}

    public has(feature: Feature): boolean {
        return this.active.has(feature);
    }

    /** Evaluates the features for the current configuration and facts; all are inactive without a configuration. */
    public refresh(configuration: Configuration | undefined): void {
        const before = this.active;
        const facts = this.facts();
        this.active = configuration === undefined ? none : activeFeatures(configuration, facts);
        for (const feature of featureNames) {
            const active = this.active.has(feature);
            if (active !== before.has(feature)) {
                this.metrics.setGauge("feature_enabled", active ? 1 : 0, { feature });
                this.log.info("feature.changed", {
                    feature,
                    active,
                    configuration: configuration?.version,
                    contended: facts.isCapacityContended,
                    hostRatio: facts.hostRatio,
                });
            }
        }
    }
}
