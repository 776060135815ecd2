/** A plain upstream that shares its host with others, so that its pace changes. */

/** A request at the upstream. */
interface Execution {
    /** Work left, in milliseconds at the usual pace. */
    workMs: number;
    readonly onDone: () => void;
}

/** Load as the upstream reports it in a response. */
export interface PacedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    readonly durationPercent: number;
}

export class PacedUpstream {
    /** Current duration of work, as a multiple of the usual one. */
    public pace = 1;
    /** Whether it accepts requests but never completes one. */
    public isHanging = false;
    public received = 0;
    private running: Execution[] = [];
    private readonly waiting: Execution[] = [];

    public constructor(public readonly id: string, public readonly slots: number) {}

    public get load(): PacedLoad {
        const { slots, pace } = this;
        return { running: this.running.length, waiting: this.waiting.length, slots, durationPercent: pace * 100 };
    }

    public run(workMs: number, onDone: () => void): void {
        this.received += 1;
        this.waiting.push({ workMs, onDone });
        this.fillSlots();
    }

    /** Works for one millisecond. */
    public step(): void {
        if (this.isHanging) {
            return;
        }
        this.running.forEach(execution => execution.workMs -= 1 / this.pace);
        const done = this.running.filter(({ workMs }) => workMs <= 0);
        this.running = this.running.filter(({ workMs }) => workMs > 0);
        this.fillSlots();
        done.forEach(({ onDone }) => onDone());
    }

    private fillSlots(): void {
        while (this.running.length < this.slots && this.waiting.length > 0) {
            this.running.push(this.waiting.shift()!);
        }
    }
}
