/** Reproducible pseudo-random numbers. */
import { type RandomGenerator, unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";

/** Number of distinct values of `uniform`. */
const resolution = 2 ** 30;

export class SeededRandom {
    private readonly generator: RandomGenerator;

    public constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** Returns a uniformly distributed number in [0, 1). */
    public uniform(): number {
        return unsafeUniformIntDistribution(0, resolution - 1, this.generator) / resolution;
    }

    /** Returns a uniformly distributed integer from 0 to `count` - 1. */
    public integerBelow(count: number): number {
        return unsafeUniformIntDistribution(0, count - 1, this.generator);
    }

    /** Returns the time to the next event of a Poisson process, in milliseconds. */
    public exponentialDelayMs(ratePerSecond: number): number {
        return -Math.log(1 - this.uniform()) * 1000 / ratePerSecond;
    }

    /** Returns the integers from 0 to `count` - 1 in random order (Fisher-Yates shuffle). */
    public permutation(count: number): number[] {
        const order = Array.from({ length: count }, (_, index) => index);
        for (let last = count - 1; last > 0; last--) {
            const other = this.integerBelow(last + 1);
            [order[last], order[other]] = [order[other], order[last]];
        }
        return order;
    }
}
