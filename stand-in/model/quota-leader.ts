/** Models a leader of which only the quotas matter. */
import {performance} from 'node:perf_hooks';
import {type Workspace} from '../../source/configuration/index.js';
import {type ControlResponse, type QuotaQuestion} from '../../source/control/index.js';
import {createQuotaLending, type QuotaLending} from '../../source/control/quota-lending.js';
import {type StateMachine} from '../../source/control/state-machine.js';
import {type QuotaTolerance} from '../../source/quota/index.js';

/** Time that a round takes that is started at once to confirm the leadership. */
const urgentMilliseconds = 6;

/** A modelled leader. */
export type QuotaLeader = {
	readonly epoch: number;
	readonly lending: QuotaLending;
	/** Workspaces of the document that it has applied. */
	workspaces: readonly Workspace[];
	/** Time from which it answers nothing. */
	endsAt: number;
};

/** Options of `createQuotaLeader`. */
export type QuotaLeaderOptions = {
	readonly epoch: number;
	readonly workspaces: readonly Workspace[];
	/** Whether a document was committed before. */
	readonly hasPredecessor: boolean;
	readonly tolerance: QuotaTolerance;
	readonly termMilliseconds: number;
};

/**
 * Creates a leader that starts now.
 * @param options - Epoch and document.
 */
export function createQuotaLeader({epoch, workspaces, hasPredecessor, tolerance, termMilliseconds}: QuotaLeaderOptions): QuotaLeader {
	const applied: {document: {readonly workspaces: readonly Workspace[]} | undefined} = {document: hasPredecessor ? {workspaces} : undefined};
	const register = {getCurrent: () => applied.document === undefined ? {isJust: false} : {isJust: true, value: {document: applied.document}}};
	const lending = createQuotaLending({
		epoch, startedAt: performance.now(), termMilliseconds, machine: {register} as unknown as StateMachine, tolerance,
	});
	applied.document = {workspaces};
	return {
		epoch,
		lending,
		endsAt: Number.POSITIVE_INFINITY,
		get workspaces() {
			return applied.document?.workspaces ?? [];
		},
		set workspaces(next) {
			applied.document = {workspaces: next};
		},
	};
}

/**
 * Answers a question as a control host does: it confirms the leadership first if that was not done lately.
 * @param leader - Leader that received the question.
 * @param question - Question of an entry.
 * @param isLeading - Checks whether the leader would be confirmed by a quorum.
 */
export async function answerQuestion(leader: QuotaLeader, question: QuotaQuestion, isLeading: () => boolean): Promise<ControlResponse> {
	const receivedAt = performance.now();
	if (!leader.lending.isConfirmed(receivedAt)) {
		await new Promise(resolve => {
			setTimeout(resolve, urgentMilliseconds);
		});
		if (isLeading()) {
			leader.lending.confirm(receivedAt);
		}
	}

	return leader.lending.answer(question, performance.now());
}
