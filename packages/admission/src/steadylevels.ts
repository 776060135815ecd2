/** An admission limit that follows its target without oscillating. */
import { levelCount } from "./levelrates.js";

/**
 * Up to which priority requests are admitted if they would have to wait: levels below its integer part are, the level
 * of the integer part in the share of its fraction, and higher levels are not. {@link openLimit} admits all.
 */
export type AdmissionLimit = number;

/** Admits all levels. */
export const openLimit: AdmissionLimit = levelCount;

/**
 * Time from the last step down until the limit is raised, in milliseconds. A limit that falls and rises within 2 s rejects
 * requests of one kind that it admits a moment later; the margin covers the interval of the feed's responses.
 */
export const raiseDelayMs = 2500;
/**
 * Largest rise per second, in levels. A rise has to show in the rates, which follow within a second or two, before it
 * exceeds the capacity by more than the share that counts as a shortage.
 */
const raisePerSecond = 0.2;
/** Steps down by less are not taken, so that fluctuations of the rates don't renew the delay forever. */
const minStep = 0.05;

export class SteadyLevel {
    private limit = openLimit;
    private loweredAt = Number.NEGATIVE_INFINITY;
    private updatedAt = Number.NEGATIVE_INFINITY;

    public get current(): AdmissionLimit {
        return this.limit;
    }

    /**
     * Moves towards the target: down at once, up slowly and not soon after a step down. Returns the limit.
     *
     * @param levels levels in use; others are skipped on the way up
     */
    public update(target: AdmissionLimit, now: number, levels: readonly number[]): AdmissionLimit {
        const elapsedMs = Math.max(0, now - this.updatedAt);
        this.updatedAt = Math.max(this.updatedAt, now);
        if (target <= this.limit - minStep) {
            this.limit = target;
            this.loweredAt = this.updatedAt;
        }
        else if (target > this.limit && this.updatedAt - this.loweredAt >= raiseDelayMs) {
            const raised = nextUsed(this.limit, levels) + raisePerSecond * elapsedMs / 1000;
            this.limit = Math.min(target, nextUsed(raised, levels));
        }
        return this.limit;
    }
}

/** Returns the limit, or the first higher one that concerns a level in use. */
function nextUsed(limit: AdmissionLimit, levels: readonly number[]): AdmissionLimit {
    return levels.includes(Math.floor(limit))
        ? limit
        : levels.reduce((next, level) => level > limit && level < next ? level : next, openLimit);
}
