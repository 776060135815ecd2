/**
 * Names of the mechanisms that an experiment can disable. `leader-level`: entries use their own admission levels only.
 */
export const mechanisms = ["health", "load-waiting", "shared-admission", "leader-level"] as const;
export type Mechanism = typeof mechanisms[number];
