/** Replicated state machine of claims on idempotency keys. */
import { type Claim, type ClaimCommand, type ClaimResult } from "./schemas.js";

/** Limit of the stored response bodies, in base64 characters. */
const maxResponseBytes = 32 * 1024 * 1024;

interface State {
    readonly claims: Claim[];
    readonly answered: [string, number][];
}

interface Context {
    /** The leader's clock, in milliseconds since the epoch. */
    readonly time: number;
}

/** Commands are idempotent: applying one again returns the same result. */
export class IdempotencyClaims {
    public readonly slice = "claims";
    /** In insertion order, which is also expiry order as long as the claim window does not change. */
    private claims = new Map<string, Claim>();
    /** Body size of each stored response by key, oldest first. */
    private responseSizes = new Map<string, number>();
    private responseBytes = 0;

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
                return this.storeResponse(claimCommand);
        }
    }

    public snapshot(): State {
        return { claims: [...this.claims.values()], answered: [...this.responseSizes] };
    }

    public restore(state: unknown): void {
        const { claims, answered } = state as State;
        this.claims = new Map(claims.map(claim => [claim.key, claim]));
        this.responseSizes = new Map(answered);
        this.responseBytes = answered.reduce((sum, [, bytes]) => sum + bytes, 0);
    }

    private claim(command: Extract<ClaimCommand, { op: "claim"; }>, time: number): ClaimResult {
        const { key, requestId, fingerprint, holder, upstream, url, incarnation, seenReport, windowMs } = command;
        const known = this.claims.get(key);
        if (known !== undefined) {
            return known.fingerprint === fingerprint ? claimResult(known, holder) : { tag: "mismatch" };
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
            return claimResult(known, holder);
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

    private storeResponse(command: Extract<ClaimCommand, { op: "answer"; }>): ClaimResult {
        const known = this.claims.get(command.key);
        if (known === undefined) {
            return { tag: "free" };
        }
        if (known.attempt !== command.attempt || known.ran) {
            return { tag: "held", claim: known };
        }
        const claim = { ...known, ran: true, answer: command.answer };
        this.claims.set(command.key, claim);
        this.trackResponse(claim);
        return { tag: "held", claim };
    }

    /** Drops the oldest responses above the size limit; their claims remain. */
    private trackResponse(claim: Claim): void {
        if (claim.answer === undefined) {
            return;
        }
        this.responseSizes.set(claim.key, claim.answer.body.length);
        this.responseBytes += claim.answer.body.length;
        for (const [key, bytes] of this.responseSizes) {
            if (this.responseBytes <= maxResponseBytes) {
                return;
            }
            this.dropResponse(key, bytes);
        }
    }

    private dropResponse(key: string, bytes: number): void {
        this.responseSizes.delete(key);
        this.responseBytes -= bytes;
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
            this.dropResponse(key, this.responseSizes.get(key) ?? 0);
        }
    }
}

function claimResult(claim: Claim, holder: string): ClaimResult {
    return { tag: claim.holder === holder ? "mine" : "held", claim };
}
