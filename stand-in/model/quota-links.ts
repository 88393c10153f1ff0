/** Links between modelled entries and leaders, which lose, duplicate and delay messages. */
import {type Random} from '../../source/randomness/index.js';
import {type QuotaLinks} from './quota-run.js';

/** Time after which a lost message is sent again, where links do that. */
const repetitionMilliseconds = 200;

/**
 * Creates a function that delivers a message by running a step.
 * @param links - What the links do to messages.
 * @param random - Random numbers.
 */
export function createQuotaLinks(links: QuotaLinks, random: Random): (step: () => void) => void {
	return step => {
		const copies = random() < links.doubledShare ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			const isLost = random() < links.lossShare;
			if (!isLost || links.isRepeating) {
				const late = random() < links.lateShare ? random() * links.lateMilliseconds : 0;
				setTimeout(step, (links.latencyMilliseconds * (0.5 + random())) + late + (isLost ? repetitionMilliseconds : 0));
			}
		}
	};
}
