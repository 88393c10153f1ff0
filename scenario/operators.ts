/** Operators of a scenario: they change the document, race each other and send changes again. */
import {type EnvironmentDocument, type Version} from '../source/configuration/index.js';
import {createRandom} from '../source/randomness/index.js';
import {type Cluster} from '../stand-in/cluster.js';
import {type ChangeAttempt} from './history.js';

const resentShare = 0.3;
const attemptsAtMost = 100;

/** Operators of a scenario. */
export type Operators = {
	/** Changes the current document until a change is accepted, and gets its version. */
	change(edit: (document: EnvironmentDocument) => EnvironmentDocument, id: string): Promise<number>;
	/** Operators race changes on the versions that they know, and resend some of them. */
	race(operators: number, each: number): Promise<void>;
};

/** What operators need of a scenario. */
export type OperatorsOptions = {
	getCluster(): Cluster;
	/** Gets the document before the first version. */
	createDocument(): EnvironmentDocument;
	getSeed(): number;
	record(change: ChangeAttempt): void;
};

/**
 * Creates the operators of a scenario.
 * @param options - System, seed and history.
 */
export function createOperators(options: OperatorsOptions): Operators {
	let nextRace = 1;

	async function change(edit: (document: EnvironmentDocument) => EnvironmentDocument, id: string): Promise<number> {
		for (let attempt = 0; attempt < attemptsAtMost; attempt++) {
			const current = await options.getCluster().callApi('GET', '/v1/environments/production');
			if (current === undefined) {
				continue;
			}

			const known = current.status === 404 ? undefined : (current.body as {readonly version: Version}).version;
			const base = known?.version ?? 0;
			const version = await sendChange(`${id}-${attempt}`, base, edit(known?.document ?? options.createDocument()));
			if (version !== undefined) {
				return version;
			}
		}

		throw new Error(`the change ${id} was never accepted`);
	}

	async function sendChange(id: string, base: number, document: EnvironmentDocument): Promise<number | undefined> {
		const sentAt = Date.now();
		const answer = await options.getCluster().callApi('POST', '/v1/environments/production/apply', {
			base, change: id, author: 'scenario', document,
		});
		const {answer: outcome} = (answer?.body ?? {}) as {readonly answer?: {readonly kind: string; readonly version?: number}};
		const version = outcome?.kind === 'accepted' ? outcome.version : undefined;
		options.record({
			changeId: id, base, sentAt, endedAt: Date.now(), version,
		});
		return version;
	}

	async function race(operators: number, each: number): Promise<void> {
		const random = createRandom(options.getSeed());
		const prefix = `race-${nextRace++}`;
		await Promise.all(Array.from({length: operators}, async (_, operator) => {
			for (let number = 0; number < each; number++) {
				const id = `${prefix}-${operator}-${number}`;
				const current = await options.getCluster().callApi('GET', '/v1/environments/production');
				if (current?.status !== 200) {
					continue;
				}

				const {version} = current.body as {readonly version: Version};
				const resends = random() < resentShare ? 2 : 1;
				for (let sending = 0; sending < resends; sending++) {
					await sendChange(id, version.version, version.document);
				}
			}
		}));
	}

	return {change, race};
}
