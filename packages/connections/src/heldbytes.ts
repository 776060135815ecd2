/** What a process holds because of one connection, as a part of what it holds because of all of them. */
import { type ConnectionPool, type PooledConnection } from "./connectionpools.js";

export class HeldBytes {
    private requestBytes = 0;
    private bufferedBytes = 0;
    private isReleased = false;

    public constructor(private readonly pool: ConnectionPool) {}

    public get total(): number {
        return this.requestBytes + this.bufferedBytes;
    }

    /**
     * Counts bytes of requests that are held from now on, or no longer; `spared`: a connection that must not be closed for
     * them.
     */
    public addRequestBytes(bytes: number, spared?: PooledConnection): void {
        if (!this.isReleased) {
            this.requestBytes += bytes;
            this.pool.addRequestBytes(bytes, spared);
        }
    }

    /** Sets the bytes in buffers: input that isn't parsed, and output that waits for the client. */
    public setBufferedBytes(bytes: number): void {
        if (!this.isReleased) {
            const difference = bytes - this.bufferedBytes;
            this.bufferedBytes = bytes;
            this.pool.addBufferedBytes(difference);
        }
    }

    /** Counts nothing from now on. */
    public release(): void {
        this.addRequestBytes(-this.requestBytes);
        this.setBufferedBytes(0);
        this.isReleased = true;
    }
}
