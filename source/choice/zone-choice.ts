/**
 * Chooses the zone whose server is queried next. Bytes between zones are expensive, so the own zone is chosen as long as its servers
 * are about half as likely to have room as those elsewhere. Beyond that, zones are drawn in proportion to
 * their room, so that entries with the same estimates do not all choose the same zone.
 */
import {type Random} from '../randomness/index.js';

/** Factor of the share of servers with room in another zone, which must be much larger than in the own one. */
const otherZoneFactor = 0.6;

/** Difference that justifies a server in another zone when hardly any server has room, so that a common shortage does not send all requests around. */
const otherZonePrice = 0.08;

/** Factor of the share in a zone in which an attempt has failed. */
const failureFactor = 0.25;

/** Factor of the share of servers with room for each server of the zone that had none for this request. */
const insufficientReadingFactor = 0.9;

/** Zone that may be chosen. */
export type ZoneOption = {
	readonly zone: string;
	/** Number of its servers. */
	readonly servers: number;
	/** Estimated share of its servers that have room. */
	readonly share: number;
	/** Number of its servers that were queried for this request and did not suffice. */
	readonly insufficientReadings: number;
	/** Whether an attempt of the request has failed in the zone. */
	readonly isAvoided: boolean;
};

function getExpectedShare({share, insufficientReadings}: ZoneOption): number {
	return share * (insufficientReadingFactor ** insufficientReadings);
}

function getValue(option: ZoneOption, ownZone: string): number {
	const share = getExpectedShare(option) * (option.isAvoided ? failureFactor : 1);
	return option.zone === ownZone ? share : (share * otherZoneFactor) - otherZonePrice;
}

/**
 * Chooses a zone.
 * @param options - Zones with servers that may be queried.
 * @param ownZone - Zone of the entry.
 * @param random - Source of random numbers.
 */
export function chooseZone(options: readonly ZoneOption[], ownZone: string, random: Random): string | undefined {
	const own = options.find(({zone}) => zone === ownZone);
	const others = options.filter(({zone}) => zone !== ownZone);
	const ownValue = own === undefined ? Number.NEGATIVE_INFINITY : getValue(own, ownZone);
	if (others.every(other => getValue(other, ownZone) <= ownValue)) {
		return own?.zone;
	}

	const preferred = others.some(({isAvoided}) => !isAvoided) ? others.filter(({isAvoided}) => !isAvoided) : others;
	const weights = preferred.map(option => option.servers * getExpectedShare(option));
	let left = random() * weights.reduce((sum, weight) => sum + weight, 0);
	const index = weights.findIndex(weight => {
		left -= weight;
		return left < 0;
	});
	return preferred[Math.max(0, index)]!.zone;
}
