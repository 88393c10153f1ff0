/** Deadlines of documents that are no longer in force. Requests that were sent with them may still be in flight. */
import {type Register, type Version} from '../configuration/index.js';

/** Maximum difference between the wall clocks of the control hosts that is allowed for, in milliseconds. */
const clockToleranceMilliseconds = 60_000;

/** Options of `getLongestEarlierDeadline`. */
export type EarlierDeadlineOptions = {
	readonly register: Register;
	readonly service: string;
	/** Time for which an entry may go on to use a document after its replacement. */
	readonly termMilliseconds: number;
	/** Wall-clock time in milliseconds. */
	readonly wallClock: number;
};

/**
 * Gets the longest deadline of a service with which requests that are in flight may have been sent before the documents in force, or 0 if
 * there is none.
 * @param options - Documents, service, term and time.
 */
export function getLongestEarlierDeadline(options: EarlierDeadlineOptions): number {
	const {register, service, termMilliseconds, wallClock} = options;

	function getDeadline(version: Version, replacedAt: number): number {
		const deadlines = version.document.services.filter(({name}) => name === service).map(({deadlineMilliseconds}) => deadlineMilliseconds);
		const longest = Math.max(0, ...deadlines);
		const mayBeInFlight = wallClock - replacedAt <= termMilliseconds + longest + clockToleranceMilliseconds;
		return mayBeInFlight ? longest : 0;
	}

	const histories = [register.getHistory('production'), register.getHistory('trial')];
	return Math.max(0, ...histories.flatMap(versions => versions.slice(1).map(({at}, index) => getDeadline(versions[index]!, at))));
}
