/**
 * Chooses the zone whose server is queried next. Bytes between zones are expensive, so the own zone is chosen as long as its servers
 * are about as likely to have room as those elsewhere, less a price of the distance. Beyond that, zones are drawn in proportion to
 * their room, so that entries with the same estimates do not all choose the same zone.
 */
import {type Random} from '../randomness/index.js';

/** Difference in the share of servers with room that justifies a server in another zone: more than half of the usual share. */
const distancePrice = 0.4;

/** Difference that justifies a zone in which no attempt has failed. */
const failurePrice = 0.5;

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
	return getExpectedShare(option) - (option.zone === ownZone ? 0 : distancePrice) - (option.isAvoided ? failurePrice : 0);
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
