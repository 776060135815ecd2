/** An in-process fleet of engines, a leader and entries that runs on a simulated clock. */
import { type Configuration, type EngineModel, type EngineSpec, type Route } from "@winchpath/declarations";
import { SimulatedEngine } from "./engines.js";
import { SimulatedEntry } from "./entries.js";
import { announceMs, SimulatedLeader } from "./leaders.js";
import { type Mechanism } from "./mechanisms.js";
import { SeededRandom } from "./seededrandoms.js";

export const serviceName = "s";
const dataCentres = ["a", "b", "c"];
const engineMemoryMb = 220_000;
const slots = 64;
const cacheTokens = 130_000;
const adapterPlaces = 8;
const modelTemplate: Omit<EngineModel, "name"> = {
    sizeMb: 72_700,
    loadMs: 8600,
    memoryLoadMs: 810,
    diskLoadMs: 1700,
    adapters: 0,
    adapterMb: 66,
};

export interface FleetShape {
    readonly entries: number;
    readonly engines: number;
    readonly models: number;
    /** Maximum number of loads from the weight store that may start per second. */
    readonly storeLoadsPerSecond: number;
    readonly routes: readonly Route[];
    /** Time of a load from the weight store and from disk in milliseconds, if it differs from the usual ones. */
    readonly storeLoadMs?: number;
    /** Maximum number of requests that an engine runs, if it differs from the usual one. */
    readonly slots?: number;
    /** Whether the settings say that capacity is contended; defaults to false. */
    readonly isCapacityContended?: boolean;
}

export class SimulatedFleet {
    public readonly engines: readonly SimulatedEngine[];
    public readonly entries: readonly SimulatedEntry[];
    public readonly leader: SimulatedLeader;

    public constructor(
        public readonly shape: FleetShape,
        seed: number,
        features: Readonly<Record<Mechanism, boolean>>,
    ) {
        const random = new SeededRandom(seed);
        const spec = createEngineSpec(shape);
        this.engines = Array.from(
            { length: shape.engines },
            (_, index) =>
                new SimulatedEngine(
                    `e${index}`,
                    dataCentres[index % dataCentres.length],
                    spec,
                    new SeededRandom(random.integerBelow(seedRange)),
                ),
        );
        const byId = new Map(this.engines.map(engine => [engine.id, engine]));
        this.leader = new SimulatedLeader(createConfiguration(shape, spec), byId, features);
        const clients = this.leader.clients();
        this.entries = Array.from({ length: shape.entries }, (_, index) =>
            new SimulatedEntry(
                `entry-${index}`,
                dataCentres[index % dataCentres.length],
                clients,
                byId,
                new SeededRandom(random.integerBelow(seedRange)),
                { isCapacityContended: shape.isCapacityContended ?? false, mechanisms: features },
            ));
    }

    /** Assigns models to engines round-robin until memory is full; the first models may get more than one replica. */
    public placeRoundRobin(): void {
        const { models } = this.leader.configuration.services[0].engine!;
        let next = 0;
        for (let round = 0; round < Math.floor(engineMemoryMb / modelTemplate.sizeMb); round++) {
            for (const engine of this.engines) {
                engine.addModel(models[next % models.length].name);
                next += 1;
            }
        }
    }

    /**
     * Assigns one replica of each model, then gives the remaining slots to the models with the highest rate per replica.
     *
     * @param rates Requests per second of each model.
     */
    public placeByLoad(rates: readonly number[]): void {
        const { models } = this.leader.configuration.services[0].engine!;
        const slotCount = Math.floor(engineMemoryMb / modelTemplate.sizeMb) * this.engines.length;
        const replicas = models.map(() => 1);
        for (let remaining = slotCount - models.length; remaining > 0; remaining--) {
            const loadPerReplica = rates.map((rate, index) => rate / replicas[index]);
            replicas[loadPerReplica.indexOf(Math.max(...loadPerReplica))] += 1;
        }
        const placements = replicas.flatMap((count, index) => Array.from({ length: count }, () => models[index].name));
        placements.forEach((name, index) => this.engines[index % this.engines.length].addModel(name));
    }

    public start(): void {
        this.leader.start();
        this.announceEngines();
        setInterval(() => this.announceEngines(), announceMs);
        this.entries.forEach(entry => entry.start());
    }

    public stop(): void {
        this.leader.stop();
        this.entries.forEach(entry => entry.stop());
    }

    private announceEngines(): void {
        this.engines.forEach(engine => this.leader.announce(engine, serviceName));
    }
}

/** Exclusive upper bound of the seeds derived for engines and entries. */
const seedRange = 2 ** 30;

function createEngineSpec(shape: FleetShape): EngineSpec {
    return {
        slots: shape.slots ?? slots,
        cacheTokens,
        memoryMb: engineMemoryMb,
        adapterPlaces,
        storeLoadsPerSecond: shape.storeLoadsPerSecond,
        models: Array.from({ length: shape.models }, (_, index) => ({
            ...modelTemplate,
            name: `m${index}`,
            loadMs: shape.storeLoadMs ?? modelTemplate.loadMs,
            diskLoadMs: shape.storeLoadMs ?? modelTemplate.diskLoadMs,
        })),
    };
}

function createConfiguration(shape: FleetShape, engine: EngineSpec): Configuration {
    return {
        version: 1,
        routes: [...shape.routes],
        services: [{ name: serviceName, maxConnections: 700, engine }],
        limits: { headerBytes: 4096, bodyBytes: 65536, headerTimeoutMs: 2000, idleTimeoutMs: 5000 },
    };
}
