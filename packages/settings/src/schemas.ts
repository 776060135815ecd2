/** Every key of a settings file, with its default. */
import { Address, durationWith, HttpUrl, Name, Size, sizeWith } from "@winchpath/core";
import Type, { type StaticDecode } from "typebox";

const strict = { additionalProperties: false };

function duration(standard: string) {
    return durationWith({ default: standard });
}

function size(standard: string) {
    return sizeWith({ default: standard });
}

/** Listeners of the process; callers, operators and the system's own processes never share one. */
const Listen = Type.Object({
    /** For the system's own processes. */
    peers: Address,
    /** For callers; entries only. */
    callers: Type.Optional(Address),
    /** For operators and for the platform's health checks. */
    operators: Type.Optional(Address),
    /** The address under which other processes reach `peers`, where it differs. */
    advertise: Type.Optional(Address),
}, strict);

const Control = Type.Object({
    /** Base URLs of all hosts that hold the control state, the same list everywhere. */
    seeds: Type.Array(HttpUrl, { minItems: 1 }),
    heartbeat: duration("100ms"),
    election: duration("800ms"),
    /** Log entries between two snapshots. */
    snapshotEvery: Type.Integer({ default: 2000, minimum: 10 }),
}, strict);

const Security = Type.Object({
    /** File with the key that the system's processes and its operators share. */
    keyFile: Type.Optional(Type.String({ minLength: 1 })),
    /** Runs without a key. For trials on one machine. */
    insecure: Type.Boolean({ default: false }),
}, { ...strict, default: {} });

const Accelerator = Type.Object({
    name: Name,
    /** Memory for models, adapters and caches. */
    memory: Size,
    /** Relative speed; 1 for the oldest cards. */
    speed: Type.Number({ default: 1, exclusiveMinimum: 0 }),
}, strict);

/** The upstream beside an agent. */
const Upstream = Type.Object({
    name: Name,
    kind: Type.Union([Type.Literal("engine"), Type.Literal("service")]),
    /** Name of the declared service; services only. */
    service: Type.Optional(Name),
    url: HttpUrl,
    /** Requests that it serves at once at full speed. */
    concurrency: Type.Integer({ default: 16, minimum: 1 }),
    /** Whether the engine refuses orders with an old fencing number. */
    checksFence: Type.Boolean({ default: true }),
    /** Longest time for which an order may be under way to an engine that ignores fencing numbers. */
    orderLifetime: duration("2s"),
    accelerators: Type.Array(Accelerator, { default: [] }),
    /** How often the engine's state is read. */
    pollEvery: duration("100ms"),
    /** Heartbeat of the agent's lease. */
    reportEvery: duration("250ms"),
}, strict);

const Limits = Type.Object({
    /** Largest body of a request. */
    body: size("4 MiB"),
    /** Largest header of a request, in bytes. */
    header: size("16 KiB"),
    connections: Type.Integer({ default: 10_000, minimum: 1 }),
    /** Time for a whole request, unless the caller asks for less. */
    request: duration("60s"),
    /** Time in which the first token is due. */
    firstToken: duration("2s"),
    /** Requests that wait for one model at most. */
    queue: Type.Integer({ default: 256, minimum: 1 }),
    /** Share of requests that may be retried, beyond a small allowance. */
    retryShare: Type.Number({ default: 0.2, minimum: 0, maximum: 1 }),
    /** How long a claimed idempotency key is kept. */
    claimWindow: duration("1d"),
    /** Time that a stop leaves to running requests. */
    drain: duration("30s"),
}, { ...strict, default: {} });

const Placement = Type.Object({
    /** Loads a second that the weight store allows. */
    storeRate: Type.Number({ default: 1, exclusiveMinimum: 0 }),
    /** Loads at once at full speed. */
    storeConcurrency: Type.Integer({ default: 8, minimum: 1 }),
    /** Price of one move, in the share of a replica's capacity that it has to win. */
    moveCost: Type.Number({ default: 0.5, minimum: 0 }),
    /** How long a model has one replica only before it gets a spare in another data centre. */
    sparePatience: duration("1m"),
}, { ...strict, default: {} });

export const SettingsFile = Type.Object({
    role: Type.Union([Type.Literal("entry"), Type.Literal("control"), Type.Literal("agent")]),
    /** Name of this host. */
    host: Name,
    dataCentre: Name,
    /** The one folder for durable state. An entry or control host with one is a voter. */
    dataFolder: Type.Optional(Type.String({ minLength: 1 })),
    listen: Listen,
    control: Control,
    security: Security,
    upstream: Type.Optional(Upstream),
    limits: Limits,
    placement: Placement,
}, strict);

export type SettingsFile = StaticDecode<typeof SettingsFile>;
