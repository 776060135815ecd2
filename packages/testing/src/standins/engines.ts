/** A model engine to test against: it speaks the engine's protocol, and tells what it was asked to hold. */
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from "fastify";
import { once } from "node:events";
import { setTimeout as delay } from "node:timers/promises";

export interface EngineOptions {
    /** Whether orders with an old fencing number are refused. */
    readonly checksFence: boolean;
    /** Requests served at once at full speed. */
    readonly capacity: number;
    /** Time for the first token, and for each further one, at full speed. */
    readonly prefillMs: number;
    readonly tokenMs: number;
    /** Time to load without the store; with one, what it takes there. */
    readonly loadMs: number;
    readonly unloadMs: number;
    /** Base URL of the weight store. */
    readonly store?: string;
    /** By how much the reported load lags. */
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

/** Faults that tests turn on and off. */
export interface EngineFaults {
    /** Orders that take effect but whose answer is lost. */
    loseAnswers: number;
    /** Orders that are lost on the way. */
    loseOrders: number;
    /** Orders take effect this much later than they are answered or given up on. */
    delayOrdersMs: number;
    /** Cuts the connection after this many tokens; 0 does not. */
    cutAfterTokens: number;
}

interface Held {
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

/** What the engine has seen, as proof. */
export interface EngineFacts {
    /** Most bytes that each accelerator was asked to hold at once. */
    readonly peak: Record<string, number>;
    readonly loads: number;
    readonly unloads: number;
    /** How often each request id was run. */
    readonly ran: Record<string, number>;
    /** Date.now() of the newest request that began. */
    readonly lastStartedAt: number;
}

const acceptedStatus = 202;
const fencedStatus = 409;
const notFoundStatus = 404;
const cachedPrefixes = 32;
const cachedShare = 0.25;
const requestIdHeader = "winchpath-request-id";

export class StandInEngine {
    public readonly faults: EngineFaults = { loseAnswers: 0, loseOrders: 0, delayOrdersMs: 0, cutAfterTokens: 0 };
    public readonly facts: EngineFacts = { peak: {}, loads: 0, unloads: 0, ran: {}, lastStartedAt: 0 };
    private readonly app: FastifyInstance = fastify({ forceCloseConnections: true });
    private readonly held = new Map<string, Held>();
    private fence = { term: 0, index: 0 };
    private running = 0;
    private waiting = 0;
    private loadHistory: { at: number; running: number; waiting: number; }[] = [];
    private readonly prefixes: string[] = [];
    private readonly slots: (() => void)[] = [];

    public constructor(private readonly options: EngineOptions = defaultEngineOptions) {
        this.app.get("/engine/state", () => this.state());
        this.app.post("/engine/orders", (req, reply) => this.takeOrder(req.body as Order, reply));
        this.app.post("/v1/chat/completions", (req, reply) => this.answer(req, reply));
        this.app.get("/stand-in/facts", () => this.facts);
        this.app.post("/stand-in/faults", req => Object.assign(this.faults, req.body));
    }

    public async listen(port: number, host = "127.0.0.1"): Promise<string> {
        return this.app.listen({ host, port });
    }

    public async close(): Promise<void> {
        await this.app.close();
    }

    /** Forgets all that it holds, as a restart does. */
    public restart(): void {
        this.held.clear();
    }

    public holds(item: string): boolean {
        return [...this.held].some(([key, held]) => key.endsWith(`|${item}`) && held.ready);
    }

    private state() {
        const residents = [...this.held].map(([key, held]) => {
            const [accelerator, item] = key.split("|");
            return { accelerator, item, bytes: held.bytes, ready: held.ready };
        });
        const horizon = Date.now() - this.options.reportLagMs;
        const seen = this.loadHistory.findLast(sample => sample.at <= horizon) ?? { running: 0, waiting: 0 };
        return { residents, load: { running: seen.running, waiting: seen.waiting, ageMs: this.options.reportLagMs } };
    }

    private noteLoad(): void {
        this.loadHistory.push({ at: Date.now(), running: this.running, waiting: this.waiting });
        this.loadHistory = this.loadHistory.slice(-2000);
    }

    private async takeOrder(order: Order, reply: FastifyReply) {
        if (this.faults.loseOrders > 0) {
            this.faults.loseOrders -= 1;
            reply.raw.destroy();
            return reply.hijack();
        }
        const { delayOrdersMs } = this.faults;
        const lost = this.faults.loseAnswers > 0 && order.kind !== "barrier";
        if (lost) {
            this.faults.loseAnswers -= 1;
            reply.raw.destroy();
            reply.hijack();
        }
        if (delayOrdersMs > 0 && order.kind !== "barrier") {
            await delay(delayOrdersMs);
        }
        const accepted = this.carryOut(order);
        return lost ? reply : reply.code(accepted ? acceptedStatus : fencedStatus).send({});
    }

    private carryOut(order: Order): boolean {
        const { term, index } = order.fence;
        const old = term < this.fence.term || (term === this.fence.term && index < this.fence.index);
        const repeated = term === this.fence.term && index === this.fence.index && order.kind !== "barrier";
        if (this.options.checksFence && (old || repeated)) {
            return false;
        }
        if (!old) {
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
        const held = { bytes: order.bytes, ready: false };
        this.held.set(key, held);
        (this.facts as { loads: number; }).loads += 1;
        this.notePeak(order.accelerator);
        try {
            await this.fetchWeights(order);
            held.ready = true;
        }
        catch {
            this.held.delete(key);
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
            throw new Error(`store answered ${res.status}`);
        }
    }

    private async unload({ accelerator, item }: Order): Promise<void> {
        const held = this.held.get(`${accelerator}|${item}`);
        (this.facts as { unloads: number; }).unloads += 1;
        if (held !== undefined) {
            held.ready = false;
            await delay(this.options.unloadMs);
            this.held.delete(`${accelerator}|${item}`);
        }
    }

    private notePeak(accelerator: string): void {
        const mine = [...this.held].filter(([key]) => key.startsWith(`${accelerator}|`));
        const bytes = mine.reduce((sum, [, held]) => sum + held.bytes, 0);
        this.facts.peak[accelerator] = Math.max(this.facts.peak[accelerator] ?? 0, bytes);
    }

    private async answer(req: FastifyRequest, reply: FastifyReply) {
        const chat = req.body as {
            model: string;
            stream?: boolean;
            max_tokens?: number;
            messages: { content: string; }[];
        };
        if (!this.holds(chat.model)) {
            return reply.code(notFoundStatus).header("winchpath-not-started", "1").send({
                error: `${chat.model} is not loaded`,
            });
        }
        const requestId = String(req.headers[requestIdHeader] ?? "");
        this.facts.ran[requestId] = (this.facts.ran[requestId] ?? 0) + 1;
        (this.facts as { lastStartedAt: number; }).lastStartedAt = Date.now();
        await this.enter();
        try {
            await this.prefill(JSON.stringify(chat.messages[0]).slice(0, 256));
            const tokens = tokensFor(chat.messages.at(-1)!.content, chat.max_tokens ?? 8);
            if (chat.stream) {
                reply.hijack();
                await this.stream(reply, chat.model, tokens);
                return reply;
            }
            await delay(this.slowed(this.options.tokenMs * tokens.length));
            return completion(chat.model, tokens.join(""));
        }
        finally {
            this.leave();
        }
    }

    private async stream(reply: FastifyReply, model: string, tokens: readonly string[]): Promise<void> {
        const { raw } = reply;
        raw.writeHead(200, { "content-type": "text/event-stream" });
        for (const [index, token] of tokens.entries()) {
            await delay(this.slowed(this.options.tokenMs));
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

    /** Beyond four times its capacity requests wait; below it they share the speed. */
    private async enter(): Promise<void> {
        if (this.running >= this.options.capacity * 4) {
            this.waiting += 1;
            this.noteLoad();
            await new Promise<void>(resolve => this.slots.push(resolve));
            this.waiting -= 1;
        }
        this.running += 1;
        this.noteLoad();
    }

    private leave(): void {
        this.running -= 1;
        this.noteLoad();
        this.slots.shift()?.();
    }

    private async prefill(prefix: string): Promise<void> {
        const known = this.prefixes.indexOf(prefix);
        if (known !== -1) {
            this.prefixes.splice(known, 1);
        }
        this.prefixes.push(prefix);
        this.prefixes.splice(0, Math.max(0, this.prefixes.length - cachedPrefixes));
        await delay(this.slowed(this.options.prefillMs * (known === -1 ? 1 : cachedShare)));
    }

    private slowed(ms: number): number {
        return ms * Math.max(1, this.running / this.options.capacity);
    }
}

/** The answer follows from the question alone, so that another's shows. */
export function tokensFor(question: string, count: number): string[] {
    return Array.from({ length: count }, (_, index) => `${question}#${index} `);
}

function chunk(model: string, content: string) {
    return { id: "chatcmpl", object: "chat.completion.chunk", model, choices: [{ index: 0, delta: { content } }] };
}

function completion(model: string, content: string) {
    const choices = [{ index: 0, message: { role: "assistant", content }, finish_reason: "stop" }];
    return { id: "chatcmpl", object: "chat.completion", model, choices };
}
