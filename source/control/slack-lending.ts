/**
 * Lends the slack of extra attempts that all entries share to those that report what they need of it. An earlier leader can have lent some
 * only if a document was committed then, since an entry without a document sends no request.
 */
import {type Grant, type Renewal} from '../lease/index.js';
import {createSlackAccount, slackWindowMilliseconds} from '../retry/index.js';
import {type StateMachine} from './state-machine.js';

/** Slack that one leader lends during one term. */
export type SlackLending = {
	/** Gets the part of an entry, given the number of live entries of its environment. */
	grant(renewal: Renewal, entryCount: number, receivedAt: number): Pick<Grant, 'slack'>;
};

/** Options of `createSlackLending`. */
export type SlackLendingOptions = {
	readonly startedAt: number;
	readonly termMilliseconds: number;
	readonly machine: StateMachine;
};

/**
 * Creates the lending of a new leader, which has applied all that was committed before.
 * @param options - Start, lease term and state machine.
 */
export function createSlackLending({startedAt, termMilliseconds, machine}: SlackLendingOptions): SlackLending {
	const mayHaveBeenLent = hasDocument('production') || hasDocument('trial');
	const account = createSlackAccount({
		termMilliseconds,
		windowMilliseconds: slackWindowMilliseconds,
		withheldUntil: startedAt + (mayHaveBeenLent ? termMilliseconds + slackWindowMilliseconds : 0),
	});

	function hasDocument(environment: Renewal['environment']): boolean {
		return machine.register.getCurrent(environment).isJust;
	}

	return {
		grant(renewal, entryCount, receivedAt) {
			const {
				entry, process, environment, sequence, acknowledged, slack, isFinal,
			} = renewal;
			if (slack === undefined) {
				account.countEqualPart(entry, entryCount, receivedAt);
				return {};
			}

			return {
				slack: account.lend({
					holder: process ?? entry, sequence, acknowledged, report: slack, isFinal, hasDocument: hasDocument(environment), receivedAt,
				}),
			};
		},
	};
}
