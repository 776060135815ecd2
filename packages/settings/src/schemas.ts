/** Schema of the settings file, with defaults. */
import { Address, durationWith, HttpUrl, Name, Size, sizeWith } from "@winchpath/core";
import Type, { type StaticDecode } from "typebox";

const strict = { additionalProperties: false };

function duration(defaultValue: string) {
    return durationWith({ default: defaultValue });
}

function size(defaultValue: string) {
    return sizeWith({ default: defaultValue });
}

/** Listen addresses. Callers, operators and peer processes each have a listener of their own. */
const Listen = Type.Object({
    /** For the other processes of the deployment. */
    peers: Address,
    /** For callers; entries only. */
    callers: Type.Optional(Address),
    /** For operators and for the platform's health checks. */
    operators: Type.Optional(Address),
    /** The address by which other processes reach `peers`, if it differs. */
    advertise: Type.Optional(Address),
}, strict);

const Control = Type.Object({
    /** Base URLs of all hosts that replicate the control state; the list is the same on every host. */
    seeds: Type.Array(HttpUrl, { minItems: 1 }),
    heartbeat: duration("100ms"),
    election: duration("800ms"),
    /** Number of log entries between snapshots. */
    snapshotEvery: Type.Integer({ default: 2000, minimum: 10 }),
}, strict);

const Security = Type.Object({
    /** File with the key shared by all processes and operators. */
    keyFile: Type.Optional(Type.String({ minLength: 1 })),
    /** Runs without a key; for testing on a single machine. */
    insecure: Type.Boolean({ default: false }),
}, { ...strict, default: {} });

const Accelerator = Type.Object({
    name: Name,
    /** Memory for models, adapters and caches. */
    memory: Size,
    /** Relative speed; 1 for the oldest accelerators. */
    speed: Type.Number({ default: 1, exclusiveMinimum: 0 }),
}, strict);

/** The upstream of an agent. */
const Upstream = Type.Object({
    name: Name,
    kind: Type.Union([Type.Literal("engine"), Type.Literal("service")]),
    /** Name of the declared service, for kind "service". */
    service: Type.Optional(Name),
    url: HttpUrl,
    /** Requests that it can serve concurrently at full speed. */
    concurrency: Type.Integer({ default: 16, minimum: 1 }),
    /** Whether the engine rejects orders with an outdated fencing token. */
    checksFence: Type.Boolean({ default: true }),
    /** Longest time that an order can be in flight to an engine that does not check fencing tokens. */
    orderLifetime: duration("2s"),
    accelerators: Type.Array(Accelerator, { default: [] }),
    /** Interval for polling the engine's state. */
    pollEvery: duration("100ms"),
    /** Interval between the reports that renew the agent's lease. */
    reportEvery: duration("250ms"),
}, strict);

const Limits = Type.Object({
    /** Maximum size of a request body. */
    body: size("4 MiB"),
    /** Maximum size of a request's headers. */
    header: size("16 KiB"),
    /** Connections of callers; beyond them, idle ones are closed. */
    connections: Type.Integer({ default: 10_000, minimum: 1 }),
    /** Memory for requests that arrive or are under way, and for responses that callers have yet to take. */
    clientMemory: size("256 MiB"),
    /** Time in which a caller takes something of a response that waits for it. */
    unread: duration("60s"),
    /** Timeout for a whole request, unless the caller sets a shorter one. */
    request: duration("60s"),
    /** Time allowed until the first token; a queued request that cannot start within it is rejected. */
    firstToken: duration("2s"),
    /** Maximum number of queued requests per model. */
    queue: Type.Integer({ default: 256, minimum: 1 }),
    /** Fraction of requests that may be retried, on top of a small fixed allowance. */
    retryShare: Type.Number({ default: 0.2, minimum: 0, maximum: 1 }),
    /** Retention time of claimed idempotency keys. */
    claimWindow: duration("1d"),
    /** How long shutdown waits for running requests. */
    drain: duration("30s"),
}, { ...strict, default: {} });

const Placement = Type.Object({
    /** Loads per second that the weight store allows. */
    storeRate: Type.Number({ default: 1, exclusiveMinimum: 0 }),
    /** Concurrent loads that the weight store serves at full speed. */
    storeConcurrency: Type.Integer({ default: 8, minimum: 1 }),
    /** Minimum gain that justifies moving a replica, as a fraction of a replica's capacity. */
    moveCost: Type.Number({ default: 0.5, minimum: 0 }),
    /** How long a model may have a single replica before a spare is added in another data centre. */
    sparePatience: duration("1m"),
}, { ...strict, default: {} });

export const SettingsFile = Type.Object({
    role: Type.Union([Type.Literal("entry"), Type.Literal("control"), Type.Literal("agent")]),
    /** Name of this host. */
    host: Name,
    dataCentre: Name,
    /** Folder for durable state. An entry or control host that has one is a voter. */
    dataFolder: Type.Optional(Type.String({ minLength: 1 })),
    listen: Listen,
    control: Control,
    security: Security,
    upstream: Type.Optional(Upstream),
    limits: Limits,
    placement: Placement,
}, strict);

export type SettingsFile = StaticDecode<typeof SettingsFile>;
