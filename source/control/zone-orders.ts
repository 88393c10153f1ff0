/**
 * Zones that operators took out of service, and the indexes of the orders for each zone in the replicated log. The indexes tell whether
 * an order was given for the present state of its zone: every order counts, also one that changed nothing but was acknowledged.
 */

/** Order for a zone. */
export type ZoneOrder = {readonly zone: string; readonly isOut: boolean};

/** Indexes of the first and the last order for a zone in the replicated log. */
type OrderedZone = {readonly zone: string; readonly first: number; readonly last: number};

/** Serializable snapshot of the orders. Releases that kept no index of each zone wrote neither of the last two fields. */
export type ZoneOrdersSnapshot = {
	readonly zonesOut?: readonly string[];
	/** Index of the last order for any zone. */
	readonly zonesRevision?: number;
	readonly orderedZones?: readonly OrderedZone[];
	/** Index up to which orders may be missing in `orderedZones`. */
	readonly zonesUnknownUntil?: number;
};

/** Orders for zones. */
export type ZoneOrders = {
	/** Gets the zones that are out of service, sorted by name. */
	getZonesOut(): readonly string[];
	/** Gets the index of the last order for any zone, or 0 if there was none. */
	getRevision(): number;
	/** Checks whether a zone was ordered out of service or back after the given index. */
	isOrderedSince(zone: string, index: number): boolean;
	/**
	 * Checks whether an order may have been overtaken by a later one for its zone. One that would change nothing does no harm. One that
	 * would put a zone back always may, also for the first time: its sender may have withdrawn an evacuation that was never acknowledged. One
	 * that would take a zone out may if the zone had several orders; before that, it was never put back.
	 */
	mayBeOvertaken(order: ZoneOrder): boolean;
	/**
	 * Applies an order, and returns whether it changed the zone.
	 * @param order - Committed order.
	 * @param index - Index of the order in the replicated log.
	 */
	apply(order: ZoneOrder, index: number | undefined): boolean;
	takeSnapshot(): ZoneOrdersSnapshot;
	restore(snapshot: ZoneOrdersSnapshot): void;
};

/** Creates a record without orders. */
export function createZoneOrders(): ZoneOrders {
	let zonesOut: readonly string[] = [];
	let revision = 0;
	let unknownUntil = 0;
	let orderedZones = new Map<string, OrderedZone>();

	function getOrderedZone(zone: string): OrderedZone {
		return orderedZones.get(zone) ?? {zone, first: 0, last: unknownUntil};
	}

	return {
		getZonesOut: () => zonesOut,
		getRevision: () => revision,
		isOrderedSince: (zone, index) => getOrderedZone(zone).last > index,
		mayBeOvertaken({zone, isOut}) {
			const {first, last} = getOrderedZone(zone);
			const wouldChange = zonesOut.includes(zone) !== isOut;
			return wouldChange && (!isOut || first !== last);
		},
		apply({zone, isOut}, index) {
			revision = index ?? revision + 1;
			const isKnown = orderedZones.has(zone) || unknownUntil > 0;
			orderedZones.set(zone, {zone, first: isKnown ? getOrderedZone(zone).first : revision, last: revision});
			const wasOut = zonesOut.includes(zone);
			if (wasOut === isOut) {
				return false;
			}

			zonesOut = isOut ? [...zonesOut, zone].toSorted() : zonesOut.filter(other => other !== zone);
			return true;
		},
		takeSnapshot: () => ({
			...(zonesOut.length > 0 ? {zonesOut} : {}),
			...(revision > 0 ? {zonesRevision: revision, orderedZones: [...orderedZones.values()]} : {}),
			...(unknownUntil > 0 ? {zonesUnknownUntil: unknownUntil} : {}),
		}),
		restore(snapshot) {
			zonesOut = snapshot.zonesOut ?? [];
			revision = snapshot.zonesRevision ?? 0;
			orderedZones = new Map(snapshot.orderedZones?.map(ordered => [ordered.zone, ordered]));
			unknownUntil = snapshot.orderedZones === undefined ? getUnknownUntil(snapshot) : snapshot.zonesUnknownUntil ?? 0;
		},
	};
}

/** Gets the index up to which a snapshot without the indexes of each zone may lack orders. The oldest releases did not write a revision either. */
function getUnknownUntil({zonesOut = [], zonesRevision = 0}: ZoneOrdersSnapshot): number {
	return Math.max(zonesRevision, zonesOut.length > 0 ? 1 : 0);
}
