/** Simulates operators that change the environment document, also concurrently, and resend changes. */
import {type EnvironmentDocument, type Version} from '../source/configuration/index.js';
import {createRandom} from '../source/randomness/index.js';
import {type Cluster} from '../stand-in/cluster.js';
import {type ChangeAttempt} from './history.js';

/** Share of the changes in a race that are sent twice. */
const resendShare = 0.3;

const maximumAttempts = 100;

/** A change that was accepted, with wall-clock times in milliseconds. */
export type AcceptedChange = {
	readonly version: number;
	/** Time from which the change may have taken effect: that of its first sending that was not refused. */
	readonly sentAt: number;
	/** Time of the response that accepted it. */
	readonly acceptedAt: number;
};

/** Simulated operators, who send changes through the API of the control hosts. */
export type Operators = {
	/** Edits the current document and sends the result, until a change is accepted. */
	applyChange(edit: (document: EnvironmentDocument) => EnvironmentDocument, idPrefix: string): Promise<AcceptedChange>;
	/** Makes operators send changes concurrently, each based on the version that the operator has read. Some changes are sent twice. */
	race(operatorCount: number, changesPerOperator: number): Promise<void>;
};

/** Options of `createOperators`. */
export type OperatorsOptions = {
	getCluster(): Cluster;
	/** Creates the document for the first change. */
	createDocument(): EnvironmentDocument;
	getSeed(): number;
	/** Records an attempt to change the document. */
	record(attempt: ChangeAttempt): void;
};

/**
 * Creates simulated operators.
 * @param options - Cluster, initial document, seed and recorder.
 */
export function createOperators(options: OperatorsOptions): Operators {
	let nextRaceNumber = 1;

	async function applyChange(edit: (document: EnvironmentDocument) => EnvironmentDocument, idPrefix: string): Promise<AcceptedChange> {
		let firstSentAt = Number.POSITIVE_INFINITY;
		for (let attempt = 0; attempt < maximumAttempts; attempt++) {
			const response = await options.getCluster().callApi('GET', '/v1/environments/production');
			if (response === undefined) {
				continue;
			}

			const currentVersion = response.status === 404 ? undefined : (response.body as {readonly version: Version}).version;
			const base = currentVersion?.version ?? 0;
			const sentAt = Date.now();
			const outcome = await sendChange(`${idPrefix}-${attempt}`, base, edit(currentVersion?.document ?? options.createDocument()));
			if (outcome !== 'refused') {
				firstSentAt = Math.min(firstSentAt, sentAt);
			}

			if (typeof outcome === 'number') {
				return {version: outcome, sentAt: firstSentAt, acceptedAt: Date.now()};
			}
		}

		throw new Error(`change "${idPrefix}" was not accepted in ${maximumAttempts} attempts`);
	}

	/** Sends a change. Resolves to the accepted version, or to `unknown` if no response came, so that the change may be accepted. */
	async function sendChange(changeId: string, base: number, document: EnvironmentDocument): Promise<number | 'refused' | 'unknown'> {
		const sentAt = Date.now();
		const response = await options.getCluster().callApi('POST', '/v1/environments/production/apply', {
			base, change: changeId, author: 'scenario', document,
		});
		const {answer: outcome} = (response?.body ?? {}) as {readonly answer?: {readonly kind: string; readonly version?: number}};
		const version = outcome?.kind === 'accepted' ? outcome.version : undefined;
		options.record({
			changeId, base, sentAt, endedAt: Date.now(), version,
		});
		return version ?? (response === undefined ? 'unknown' : 'refused');
	}

	async function race(operatorCount: number, changesPerOperator: number): Promise<void> {
		const random = createRandom(options.getSeed());
		const prefix = `race-${nextRaceNumber++}`;
		await Promise.all(Array.from({length: operatorCount}, async (_, operator) => {
			for (let changeNumber = 0; changeNumber < changesPerOperator; changeNumber++) {
				const changeId = `${prefix}-${operator}-${changeNumber}`;
				const response = await options.getCluster().callApi('GET', '/v1/environments/production');
				if (response?.status !== 200) {
					continue;
				}

				const {version} = response.body as {readonly version: Version};
				const sendCount = random() < resendShare ? 2 : 1;
				for (let sendNumber = 0; sendNumber < sendCount; sendNumber++) {
					await sendChange(changeId, version.version, version.document);
				}
			}
		}));
	}

	return {applyChange, race};
}
