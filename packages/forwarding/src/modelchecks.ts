/** Checks, before a request is sent, that the configuration in force declares the model that it asks for. */
import { type Configuration } from "@winchpath/declarations";
import { type FleetView } from "@winchpath/fleet";
import { type Refusal } from "./admissioncontrollers.js";
import { type InboundRequest } from "./inboundrequests.js";
import { LocalResponse } from "./localresponses.js";

/** Retry-After in milliseconds; a configuration that declares the model may be on its way to this entry. */
const undeclaredRetryMs = 1000;
const undeclaredRefusal: Refusal = {
    kind: "refused",
    response: LocalResponse.modelUndeclared,
    retryAfterMs: undeclaredRetryMs,
};

export class ModelCheck {
    private configuration: Configuration | undefined;
    /** Names of declared models, by service with engines. */
    private modelsByService: ReadonlyMap<string, ReadonlySet<string>> = new Map();

    public constructor(private readonly view: Pick<FleetView<Configuration>, "configuration">) {}

    /**
     * Returns a refusal if the service has engines and doesn't declare the model, or no longer does. Nothing loads it then, and
     * engines that hold it unload it once its last request ends. A request that an upstream may have run goes on.
     */
    public refusal({ service, metadata, attemptedUpstreams }: InboundRequest): Refusal | undefined {
        const models = metadata.model === "" ? undefined : this.declaredModels(service);
        const isDeclared = models === undefined || models.has(metadata.model);
        return isDeclared || attemptedUpstreams.length > 0 ? undefined : undeclaredRefusal;
    }

    /** Undefined for a service without engines. */
    private declaredModels(service: string): ReadonlySet<string> | undefined {
        const { configuration } = this.view;
        if (configuration !== this.configuration) {
            this.configuration = configuration;
            this.modelsByService = new Map(
                configuration?.services.flatMap(({ name, engine }) =>
                    engine === undefined
                        ? []
                        : [[name, new Set(engine.models.map(model => model.name))] as const]
                ),
            );
        }
        return this.modelsByService.get(service);
    }
}
