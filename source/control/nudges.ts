/** Tells the connected processes to renew their leases at once when the state that grants carry has changed. */
import {type Link} from '../wire/index.js';
import {type Leadership} from './leadership.js';
import {type ControlInbound} from './message.js';
import {type StateMachine} from './state-machine.js';

const nudgeDelayMilliseconds = 25;

/** Nudges of one control host. */
export type Nudges = {
	/** Sends one nudge for all changes within a short time, if this host leads. */
	schedule(): void;
	/** Sends a nudge if this host leads and something has changed since the last one. */
	sendIfNeeded(): void;
	/** Starts anew with a new leadership, whose first nudge is always sent. */
	restart(): void;
	stop(): void;
};

/** Options of `createNudges`. */
export type NudgesOptions = {
	readonly machine: StateMachine;
	/** Links that this host accepted. */
	readonly links: ReadonlySet<Link<ControlInbound>>;
	getLeadership(): Leadership | undefined;
};

/**
 * Creates nudges.
 * @param options - State machine, links and access to the current leadership.
 */
export function createNudges(options: NudgesOptions): Nudges {
	const {machine, links, getLeadership} = options;
	let timer: NodeJS.Timeout | undefined;
	let lastUrgentRevision = 0;
	let lastVersions = '';

	function sendIfNeeded(): void {
		const leadership = getLeadership();
		const versions = (['trial', 'production'] as const).map(environment => machine.register.getCurrent(environment).map(current => String(current.version)).unwrapOr('')).join(' ');
		const urgentRevision = leadership?.getUrgentRevision() ?? 0;
		if (leadership === undefined || (urgentRevision === lastUrgentRevision && versions === lastVersions)) {
			return;
		}

		lastUrgentRevision = urgentRevision;
		lastVersions = versions;
		for (const link of links) {
			link.send({kind: 'nudge'});
		}
	}

	return {
		schedule() {
			if (getLeadership() === undefined || timer !== undefined) {
				return;
			}

			timer = setTimeout(() => {
				timer = undefined;
				sendIfNeeded();
			}, nudgeDelayMilliseconds);
		},
		sendIfNeeded,
		restart() {
			lastUrgentRevision = -1;
		},
		stop() {
			clearTimeout(timer);
		},
	};
}
