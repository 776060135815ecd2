/** Logs the models and adapters that are requested and not served, with what is known of the reason. */
import { type EventLog, steadyNow } from "@winchpath/core";
import { type DemandTracker, type UnservedItem } from "./demands.js";
import { itemMapKey } from "./items.js";
import { type UnmetNeed } from "./plans.js";
import { type Registry } from "./registries.js";

/** An item is listed once all its requests have gone unserved for this long, in milliseconds; most loads are over by then. */
const minUnservedMs = 3000;
/** Minimum interval between two lines, in milliseconds. */
const intervalMs = 1000;
/** Maximum number of items in a line; those that have gone unserved for longest are listed. */
const maxItems = 20;

export class UnservedItemLog {
    private readonly loggedAt = new Map<string, number>();
    /** Orders of this leadership that load an item or make room for it, by item. */
    private readonly orders = new Map<string, number>();

    public constructor(
        private readonly demand: Pick<DemandTracker, "unservedItems">,
        private readonly registry: Pick<Registry, "all">,
        private readonly log: EventLog,
    ) {}

    public ordered(item: string): void {
        this.orders.set(item, (this.orders.get(item) ?? 0) + 1);
    }

    /** @param unmet items that the latest plan orders nothing for */
    public write(service: string, unmet: readonly UnmetNeed[]): void {
        const now = steadyNow();
        if (now - (this.loggedAt.get(service) ?? Number.NEGATIVE_INFINITY) < intervalMs) {
            return;
        }
        const items = this.demand.unservedItems(minUnservedMs).filter(({ key }) => key.service === service);
        if (items.length === 0) {
            return;
        }
        this.loggedAt.set(service, now);
        this.log.warn("demand.unserved", {
            service,
            items: items.length,
            longest: items.slice(0, maxItems).map(item => ({
                item: itemMapKey(item.key),
                unservedMs: Math.round(item.unservedMs),
                requested: item.requested,
                served: item.served,
                waiting: item.waiting,
                rejections: item.rejections,
                holders: this.holderCount(item),
                orders: this.orders.get(itemMapKey(item.key)) ?? 0,
                noOrderFor: unmet.find(({ model, adapter }) => model === item.key.model && adapter === item.key.adapter)
                    ?.reason,
            })),
        });
    }

    /** Upstreams that hold the item ready for requests. */
    private holderCount({ key: { service, model, adapter } }: UnservedItem): number {
        return this.registry.all().filter(({ upstream }) =>
            upstream.service === service
            && upstream.models.some(held =>
                held.name === model && held.readyInMs === 0 && !held.leaving
                && (adapter === "" || held.adapters.includes(adapter))
            )
        ).length;
    }
}
