/** Configurations as an operator sends them (PROTOCOL.md, "The operator's API"). */
export const hostname = "booking.example";

const limits = {
    "max-header-bytes": 16_384,
    "max-body-bytes": 4_194_304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15_000,
};

/** A route of the small deployment; `fields` replace the defaults. */
export function route(name, prefix, type, service, fields = {}) {
    return {
        name,
        hostname,
        "path-prefix": prefix,
        type,
        "timeout-ms": 8000,
        "target-latency-ms": 800,
        priority: 1,
        service,
        "max-attempts": type === "unsafe" ? 1 : 2,
        sticky: type === "streaming",
        resumable: false,
        ...(type === "streaming" ? { "gap-target-ms": 400 } : {}),
        ...fields,
    };
}

export function plainService(name, maxConnections = 96) {
    return { name, "health-path": "/health", "max-conns": maxConnections, protocol: "h1", tls: false };
}

/** A service of model workers; `models`: size in MB by name. */
export function modelService(name, models, fields = {}) {
    return {
        ...plainService(name, 360),
        engine: {
            slots: 64,
            "kv-cache-tokens": 132_029,
            "kv-token-bytes": 163_840,
            "link-mbps": 280_000,
            stride: 2,
            "host-mb": 150_000,
            "disk-mb": 440_000,
            models: Object.entries(models).map(([model, size]) => ({
                name: model,
                "weights-mb": size,
                "load-s": 1.2,
                adapters: 0,
                "adapter-mb": 66,
                "warm-s": 0.81,
                "disk-load-s": 1.1,
            })),
            "weights-mb": 220_000,
            "adapter-slots": 8,
            "loads-per-s": 1.4,
            ...fields,
        },
    };
}

export function configuration(version, routes, services) {
    return { version, routes, services, limits };
}
