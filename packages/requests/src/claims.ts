/** Claims on idempotency keys, as replicated state. */
import { type Claim, type ClaimCommand, type ClaimResult } from "./schemas.js";

interface Context {
    /** Leader's clock, milliseconds since the epoch. */
    readonly time: number;
}

/** Every command may be applied twice: the second time it gives what the first did. */
export class Claims {
    public readonly slice = "claims";
    /** In the order of their claiming, which is that of their expiry while the window stays the same. */
    private claims = new Map<string, Claim>();

    public get size(): number {
        return this.claims.size;
    }

    public find(key: string): Claim | undefined {
        return this.claims.get(key);
    }

    public apply(command: unknown, context: Context): ClaimResult {
        const claimCommand = command as ClaimCommand;
        this.expire(context.time);
        switch (claimCommand.op) {
            case "claim":
                return this.claim(claimCommand, context.time);
            case "reassign":
                return this.reassign(claimCommand);
            case "release":
                return this.release(claimCommand);
            case "answer":
                return this.keepAnswer(claimCommand);
        }
    }

    public snapshot(): Claim[] {
        return [...this.claims.values()];
    }

    public restore(state: unknown): void {
        this.claims = new Map((state as Claim[]).map(claim => [claim.key, claim]));
    }

    private claim(command: Extract<ClaimCommand, { op: "claim"; }>, time: number): ClaimResult {
        const { key, requestId, fingerprint, holder, upstream, url, incarnation, windowMs } = command;
        const known = this.claims.get(key);
        if (known !== undefined) {
            return known.fingerprint === fingerprint ? ownership(known, holder) : { tag: "mismatch" };
        }
        const claim = {
            key,
            requestId,
            fingerprint,
            attempt: 1,
            holder,
            upstream,
            url,
            incarnation,
            expiresAt: time + windowMs,
        };
        this.claims.set(key, claim);
        return { tag: "mine", claim };
    }

    private reassign(command: Extract<ClaimCommand, { op: "reassign"; }>): ClaimResult {
        const { key, fromAttempt, holder, upstream, url, incarnation } = command;
        const known = this.claims.get(key);
        if (known === undefined) {
            return { tag: "free" };
        }
        if (known.attempt !== fromAttempt || known.answer !== undefined) {
            return ownership(known, holder);
        }
        const claim = { ...known, attempt: fromAttempt + 1, holder, upstream, url, incarnation };
        this.claims.set(key, claim);
        return { tag: "mine", claim };
    }

    private release(command: Extract<ClaimCommand, { op: "release"; }>): ClaimResult {
        const known = this.claims.get(command.key);
        if (known === undefined || known.attempt !== command.attempt || known.answer !== undefined) {
            return known === undefined ? { tag: "free" } : { tag: "held", claim: known };
        }
        this.claims.delete(command.key);
        return { tag: "free" };
    }

    private keepAnswer(command: Extract<ClaimCommand, { op: "answer"; }>): ClaimResult {
        const known = this.claims.get(command.key);
        if (known === undefined) {
            return { tag: "free" };
        }
        const claim = known.attempt === command.attempt ? { ...known, answer: command.answer } : known;
        this.claims.set(command.key, claim);
        return { tag: "held", claim };
    }

    private expire(time: number): void {
        for (const [key, claim] of this.claims) {
            if (claim.expiresAt > time) {
                return;
            }
            this.claims.delete(key);
        }
    }
}

function ownership(claim: Claim, holder: string): ClaimResult {
    return { tag: claim.holder === holder ? "mine" : "held", claim };
}
