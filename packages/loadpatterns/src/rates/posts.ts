/** Messages of a simulated fleet, on a clock that moves in steps. */
import { steadyNow } from "@winchpath/core";
import { type Draws } from "../draws.js";

/** A message between two processes takes this long at most, in milliseconds. */
const longestTripMs = 5;

interface Letter {
    readonly at: number;
    readonly act: () => void;
}

/** What is under way. */
export class Post {
    private letters: Letter[] = [];

    public constructor(private readonly draws: Draws) {}

    /** Something happens after so many milliseconds. */
    public later(ms: number, act: () => void): void {
        this.letters.push({ at: steadyNow() + ms, act });
    }

    /** A message arrives after a trip. */
    public send(act: () => void): void {
        this.later(1 + this.draws.share() * (longestTripMs - 1), act);
    }

    /** Hands over what is due. */
    public deliver(): void {
        const now = steadyNow();
        const due = this.letters.filter(({ at }) => at <= now);
        this.letters = this.letters.filter(({ at }) => at > now);
        due.sort((a, b) => a.at - b.at).forEach(({ act }) => act());
    }
}
