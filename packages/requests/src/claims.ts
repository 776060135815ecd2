/** Claims on idempotency keys, as replicated state. */
import { type Claim, type ClaimCommand, type ClaimResult } from "./schemas.js";

/** Bytes of answers, in base64, that are kept with their claims. */
const maxAnswerBytes = 32 * 1024 * 1024;

interface State {
    readonly claims: Claim[];
    readonly answered: [string, number][];
}

interface Context {
    /** Leader's clock, milliseconds since the epoch. */
    readonly time: number;
}

/** Every command may be applied twice: the second time it gives what the first did. */
export class Claims {
    public readonly slice = "claims";
    /** In the order of their claiming, which is that of their expiry while the window stays the same. */
    private claims = new Map<string, Claim>();
    /** Claims with an answer, and the size of its body, in the order of the answers. */
    private answered = new Map<string, number>();
    private answerBytes = 0;

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

    public snapshot(): State {
        return { claims: [...this.claims.values()], answered: [...this.answered] };
    }

    public restore(state: unknown): void {
        const { claims, answered } = state as State;
        this.claims = new Map(claims.map(claim => [claim.key, claim]));
        this.answered = new Map(answered);
        this.answerBytes = answered.reduce((sum, [, bytes]) => sum + bytes, 0);
    }

    private claim(command: Extract<ClaimCommand, { op: "claim"; }>, time: number): ClaimResult {
        const { key, requestId, fingerprint, holder, upstream, url, incarnation, seenReport, windowMs } = command;
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
            seenReport,
            expiresAt: time + windowMs,
        };
        this.claims.set(key, claim);
        return { tag: "mine", claim };
    }

    private reassign(command: Extract<ClaimCommand, { op: "reassign"; }>): ClaimResult {
        const { key, fromAttempt, holder, upstream, url, incarnation, seenReport } = command;
        const known = this.claims.get(key);
        if (known === undefined) {
            return { tag: "free" };
        }
        if (known.attempt !== fromAttempt || known.ran) {
            return ownership(known, holder);
        }
        const claim = { ...known, attempt: fromAttempt + 1, holder, upstream, url, incarnation, seenReport };
        this.claims.set(key, claim);
        return { tag: "mine", claim };
    }

    private release(command: Extract<ClaimCommand, { op: "release"; }>): ClaimResult {
        const known = this.claims.get(command.key);
        if (known === undefined || known.attempt !== command.attempt || known.ran) {
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
        if (known.attempt !== command.attempt || known.ran) {
            return { tag: "held", claim: known };
        }
        const claim = { ...known, ran: true, answer: command.answer };
        this.claims.set(command.key, claim);
        this.countAnswer(claim);
        return { tag: "held", claim };
    }

    /** Drops the answers that came first, not their claims, where there are too many bytes of them. */
    private countAnswer(claim: Claim): void {
        if (claim.answer === undefined) {
            return;
        }
        this.answered.set(claim.key, claim.answer.body.length);
        this.answerBytes += claim.answer.body.length;
        for (const [key, bytes] of this.answered) {
            if (this.answerBytes <= maxAnswerBytes) {
                return;
            }
            this.forgetAnswer(key, bytes);
        }
    }

    private forgetAnswer(key: string, bytes: number): void {
        this.answered.delete(key);
        this.answerBytes -= bytes;
        const claim = this.claims.get(key);
        if (claim !== undefined) {
            this.claims.set(key, { ...claim, answer: undefined });
        }
    }

    private expire(time: number): void {
        for (const [key, claim] of this.claims) {
            if (claim.expiresAt > time) {
                return;
            }
            this.claims.delete(key);
            this.forgetAnswer(key, this.answered.get(key) ?? 0);
        }
    }
}

function ownership(claim: Claim, holder: string): ClaimResult {
    return { tag: claim.holder === holder ? "mine" : "held", claim };
}
