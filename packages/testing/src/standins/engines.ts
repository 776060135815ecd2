/** A mock model engine that implements the engine protocol and records memory use and requests. */
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from "fastify";
import { once } from "node:events";
import { setTimeout as delay } from "node:timers/promises";

export interface EngineOptions {
    /** Whether orders with a stale fencing token are rejected. */
    readonly checksFence: boolean;
    /** Number of concurrent requests that are served at full speed. */
    readonly capacity: number;
    /** Time to process the prompt, and to generate each token, at full speed. */
    readonly prefillMs: number;
    readonly tokenMs: number;
    /** Load time without a weight store; with one, its response time counts. */
    readonly loadMs: number;
    readonly unloadMs: number;
    /** Base URL of the weight store. */
    readonly store?: string;
    /** Age of the load that is reported. */
    readonly reportLagMs: number;
}

export const defaultEngineOptions: EngineOptions = {
    checksFence: true,
    capacity: 8,
    prefillMs: 5,
    tokenMs: 2,
    loadMs: 50,
    unloadMs: 10,
    reportLagMs: 0,
};

/** Injectable faults. */
export interface EngineFaults {
    /** How many of the next orders take effect without a response. */
    loseAnswers: number;
    /** How many of the next orders are dropped. */
    loseOrders: number;
    /** Delay before an order takes effect, which may be after the sender's timeout. */
    delayOrdersMs: number;
    /** Closes a stream's connection after this many tokens; 0 disables it. */
    cutAfterTokens: number;
}

interface Resident {
    readonly bytes: number;
    ready: boolean;
}

interface Order {
    readonly fence: { readonly term: number; readonly index: number; };
    readonly kind: string;
    readonly accelerator: string;
    readonly item: string;
    readonly bytes: number;
}

/** Counters that tests verify. */
export interface EngineStats {
    /** Peak memory use of each accelerator, in bytes. */
    readonly peak: Record<string, number>;
    readonly loads: number;
    readonly unloads: number;
    /** Number of executions by request id. */
    readonly ran: Record<string, number>;
    /** When the most recent request started, in epoch milliseconds. */
    readonly lastStartedAt: number;
}

const acceptedStatus = 202;
const staleFenceStatus = 409;
const notFoundStatus = 404;
const prefixCacheSize = 32;
const cachedPrefillFactor = 0.25;
const requestIdHeader = "winchpath-request-id";

export class MockEngine {
    public readonly faults: EngineFaults = { loseAnswers: 0, loseOrders: 0, delayOrdersMs: 0, cutAfterTokens: 0 };
    public readonly stats: EngineStats = { peak: {}, loads: 0, unloads: 0, ran: {}, lastStartedAt: 0 };
    private readonly app: FastifyInstance = fastify({ forceCloseConnections: true });
    private readonly residents = new Map<string, Resident>();
    private fence = { term: 0, index: 0 };
    private running = 0;
    private waiting = 0;
    private loadHistory: { at: number; running: number; waiting: number; }[] = [];
    private readonly cachedPrefixes: string[] = [];
    private readonly queue: (() => void)[] = [];

    public constructor(private readonly options: EngineOptions = defaultEngineOptions) {
        this.app.get("/engine/state", () => this.reportState());
        this.app.post("/engine/orders", (req, reply) => this.receiveOrder(req.body as Order, reply));
        this.app.post("/v1/chat/completions", (req, reply) => this.completeChat(req, reply));
        this.app.get("/stand-in/facts", () => this.stats);
        this.app.post("/stand-in/faults", req => Object.assign(this.faults, req.body));
    }

    public async listen(port: number, host = "127.0.0.1"): Promise<string> {
        return this.app.listen({ host, port });
    }

    public async close(): Promise<void> {
        await this.app.close();
    }

    /** Unloads everything at once, as a restart does. */
    public reset(): void {
        this.residents.clear();
    }

    public isLoaded(item: string): boolean {
        return [...this.residents].some(([key, resident]) => key.endsWith(`|${item}`) && resident.ready);
    }

    private reportState() {
        const residents = [...this.residents].map(([key, resident]) => {
            const [accelerator, item] = key.split("|");
            return { accelerator, item, bytes: resident.bytes, ready: resident.ready };
        });
        const horizon = Date.now() - this.options.reportLagMs;
        const sample = this.loadHistory.findLast(sample => sample.at <= horizon) ?? { running: 0, waiting: 0 };
        return {
            residents,
            load: { running: sample.running, waiting: sample.waiting, ageMs: this.options.reportLagMs },
        };
    }

    private recordLoad(): void {
        this.loadHistory.push({ at: Date.now(), running: this.running, waiting: this.waiting });
        this.loadHistory = this.loadHistory.slice(-2000);
    }

    private async receiveOrder(order: Order, reply: FastifyReply) {
        if (this.faults.loseOrders > 0) {
            this.faults.loseOrders -= 1;
            reply.raw.destroy();
            return reply.hijack();
        }
        const { delayOrdersMs } = this.faults;
        const dropResponse = this.faults.loseAnswers > 0 && order.kind !== "barrier";
        if (dropResponse) {
            this.faults.loseAnswers -= 1;
            reply.raw.destroy();
            reply.hijack();
        }
        if (delayOrdersMs > 0 && order.kind !== "barrier") {
            await delay(delayOrdersMs);
        }
        const accepted = this.executeOrder(order);
        return dropResponse ? reply : reply.code(accepted ? acceptedStatus : staleFenceStatus).send({});
    }

    private executeOrder(order: Order): boolean {
        const { term, index } = order.fence;
        const isStale = term < this.fence.term || (term === this.fence.term && index < this.fence.index);
        const isDuplicate = term === this.fence.term && index === this.fence.index && order.kind !== "barrier";
        if (this.options.checksFence && (isStale || isDuplicate)) {
            return false;
        }
        if (!isStale) {
            this.fence = order.fence;
        }
        if (order.kind === "load") {
            void this.load(order);
        }
        else if (order.kind === "unload") {
            void this.unload(order);
        }
        return true;
    }

    private async load(order: Order): Promise<void> {
        const key = `${order.accelerator}|${order.item}`;
        const resident = { bytes: order.bytes, ready: false };
        this.residents.set(key, resident);
        (this.stats as { loads: number; }).loads += 1;
        this.recordPeak(order.accelerator);
        try {
            await this.fetchWeights(order);
            resident.ready = true;
        }
        catch {
            this.residents.delete(key);
        }
    }

    private async fetchWeights({ item, bytes }: Order): Promise<void> {
        if (this.options.store === undefined) {
            await delay(this.options.loadMs);
            return;
        }
        const res = await fetch(`${this.options.store}/weights/${encodeURIComponent(item)}?bytes=${bytes}`);
        await res.text();
        if (!res.ok) {
            throw new Error(`weight store responded with status ${res.status}`);
        }
    }

    private async unload({ accelerator, item }: Order): Promise<void> {
        const resident = this.residents.get(`${accelerator}|${item}`);
        (this.stats as { unloads: number; }).unloads += 1;
        if (resident !== undefined) {
            resident.ready = false;
            await delay(this.options.unloadMs);
            this.residents.delete(`${accelerator}|${item}`);
        }
    }

    private recordPeak(accelerator: string): void {
        const residents = [...this.residents].filter(([key]) => key.startsWith(`${accelerator}|`));
        const bytes = residents.reduce((sum, [, resident]) => sum + resident.bytes, 0);
        this.stats.peak[accelerator] = Math.max(this.stats.peak[accelerator] ?? 0, bytes);
    }

    private async completeChat(req: FastifyRequest, reply: FastifyReply) {
        const chat = req.body as {
            model: string;
            stream?: boolean;
            max_tokens?: number;
            messages: { content: string; }[];
        };
        if (!this.isLoaded(chat.model)) {
            return reply.code(notFoundStatus).header("winchpath-not-started", "1").send({
                error: `${chat.model} is not loaded`,
            });
        }
        const requestId = String(req.headers[requestIdHeader] ?? "");
        this.stats.ran[requestId] = (this.stats.ran[requestId] ?? 0) + 1;
        (this.stats as { lastStartedAt: number; }).lastStartedAt = Date.now();
        await this.acquireSlot();
        try {
            await this.prefill(JSON.stringify(chat.messages[0]).slice(0, 256));
            const tokens = generateTokens(chat.messages.at(-1)!.content, chat.max_tokens ?? 8);
            if (chat.stream) {
                reply.hijack();
                await this.stream(reply, chat.model, tokens);
                return reply;
            }
            await delay(this.scaleByLoad(this.options.tokenMs * tokens.length));
            return completion(chat.model, tokens.join(""));
        }
        finally {
            this.releaseSlot();
        }
    }

    private async stream(reply: FastifyReply, model: string, tokens: readonly string[]): Promise<void> {
        const { raw } = reply;
        raw.writeHead(200, { "content-type": "text/event-stream" });
        for (const [index, token] of tokens.entries()) {
            await delay(this.scaleByLoad(this.options.tokenMs));
            if (raw.destroyed || (this.faults.cutAfterTokens > 0 && index >= this.faults.cutAfterTokens)) {
                raw.destroy();
                return;
            }
            if (!raw.write(`data: ${JSON.stringify(chunk(model, token))}\n\n`)) {
                await Promise.race([once(raw, "drain"), once(raw, "close")]);
            }
        }
        raw.end("data: [DONE]\n\n");
    }

    /** Queues requests beyond four times the capacity. */
    private async acquireSlot(): Promise<void> {
        if (this.running >= this.options.capacity * 4) {
            this.waiting += 1;
            this.recordLoad();
            await new Promise<void>(resolve => this.queue.push(resolve));
            this.waiting -= 1;
        }
        this.running += 1;
        this.recordLoad();
    }

    private releaseSlot(): void {
        this.running -= 1;
        this.recordLoad();
        this.queue.shift()?.();
    }

    private async prefill(prefix: string): Promise<void> {
        const cachedIndex = this.cachedPrefixes.indexOf(prefix);
        if (cachedIndex !== -1) {
            this.cachedPrefixes.splice(cachedIndex, 1);
        }
        this.cachedPrefixes.push(prefix);
        this.cachedPrefixes.splice(0, Math.max(0, this.cachedPrefixes.length - prefixCacheSize));
        await delay(this.scaleByLoad(this.options.prefillMs * (cachedIndex === -1 ? 1 : cachedPrefillFactor)));
    }

    private scaleByLoad(ms: number): number {
        return ms * Math.max(1, this.running / this.options.capacity);
    }
}

/** Derives the tokens from the question, so that a test notices a response that belongs to another request. */
export function generateTokens(question: string, count: number): string[] {
    return Array.from({ length: count }, (_, index) => `${question}#${index} `);
}

function chunk(model: string, content: string) {
    return { id: "chatcmpl", object: "chat.completion.chunk", model, choices: [{ index: 0, delta: { content } }] };
}

function completion(model: string, content: string) {
    const choices = [{ index: 0, message: { role: "assistant", content }, finish_reason: "stop" }];
    return { id: "chatcmpl", object: "chat.completion", model, choices };
}
