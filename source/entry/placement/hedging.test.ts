/**
 * Checks in virtual time when a slow request is hedged, where, and why a hedge is withheld. Guards against hedges that take the place of
 * other requests, that run on a cold server, or that repeat what must not be repeated.
 */
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {startVirtualTime} from '../../../stand-in/model/virtual-time.js';
import {announcementSchema} from '../../announcement/index.js';
import {createCandidate, type Candidate, type LoadReading} from '../../choice/index.js';
import {type Service} from '../../configuration/index.js';
import {type HedgeObstacle} from '../../retry/index.js';
import {createServiceHedging} from '../fleet/service-hedging.js';
import {recordAnswer} from './attempt-recording.js';
import {scheduleHedge} from './hedging.js';
import {type RequestProgress, type RunningAttempt} from './request-progress.js';

const times = {
	first: 10, certain: 100, overdue: 200, interval: 20,
};
const queryMilliseconds = 2;
const testMilliseconds = 400;

const usual: LoadReading = {
	running: 1, waiting: 0, slots: 6, slowness: 1,
};
const slow: LoadReading = {...usual, slowness: 5};

type Case = {
	readonly method?: string;
	readonly isIdempotent?: boolean;
	readonly isStreamed?: boolean;
	readonly attemptLimit?: number;
	readonly ratio?: number;
	/** Number of earlier requests, each of which deposits the ratio. */
	readonly requests?: number;
	/** Ratio of the document. */
	readonly hedgeRatio?: number;
	readonly hasLargeResponses?: boolean;
	readonly isLinkBusy?: boolean;
	readonly waitingRequests?: number;
	readonly askedCandidates?: number;
	/** Load that the server of the first attempt states; undefined if it does not reply. */
	readonly first?: LoadReading | undefined;
	/** Server that is selected for the hedge, if there is one. */
	readonly second?: {readonly zone?: string; readonly isCold?: boolean; readonly reading?: LoadReading} | undefined;
	/** Time at which the first attempt answers. */
	readonly answeredAt?: number;
};

type Expected = {readonly sentAt: number | undefined; readonly withheld: readonly HedgeObstacle[]};

function createServer(id: number, zone: string, isCold: boolean): Candidate {
	const state = isCold ? 'cold' : 'warm';
	return createCandidate(id, announcementSchema.parse({
		service: 'stock', name: `s${id}`, host: '127.0.0.1', port: 1, zone, slots: 6, connections: 100, boot: 'b', state,
	}), state);
}

describe('scheduleHedge with hedging in the settings', () => {
	async function doTest(options: Case, expected: Expected): Promise<void> {
		const time = startVirtualTime();
		const service = {name: 'stock', askedCandidates: options.askedCandidates ?? 3, hedgeRatio: options.hedgeRatio ?? 0.05} as unknown as Service;
		const hedging = createServiceHedging({ratio: options.ratio ?? 1, maximumRatio: 1, getTimes: () => times}, () => service, undefined);
		for (let request = 0; request < (options.requests ?? 2); request++) {
			hedging.budget.deposit();
		}

		const firstServer = createServer(1, 'north', false);
		const secondOptions = 'second' in options ? options.second : {};
		const secondServer = secondOptions === undefined ? undefined : createServer(2, secondOptions.zone ?? 'north', secondOptions.isCold ?? false);
		if (secondServer !== undefined) {
			hedging.loads.record(secondServer, secondOptions?.reading ?? usual);
		}

		const firstReading = 'first' in options ? options.first : slow;
		const withheld: HedgeObstacle[] = [];
		const sentAt: number[] = [];
		const running: RunningAttempt = {
			attempt: {cancel: doNothing, wasDispatched: () => true}, candidate: firstServer, kind: 'first', startedAt: 0,
		};
		const progress = {
			running: new Set([running]),
			attempts: 1,
			attemptLimit: options.attemptLimit ?? 3,
			isSettled: false,
			selector: {
				selectForHedge(callback: (candidate: Candidate | undefined) => void) {
					setTimeout(callback, queryMilliseconds, secondServer);
				},
			},
			admitted: {
				service,
				state: {hedging, queue: {getLength: () => options.waitingRequests ?? 0}, shortageEstimate: {getShortage: () => 0}},
				route: {hasLargeResponses: options.hasLargeResponses ?? false},
				request: {method: options.method ?? 'GET', isIdempotent: options.isIdempotent ?? true, stream: options.isStreamed === true ? {} : undefined},
				access: {kind: 'open'},
				deadlineAt: 10_000,
				context: {
					zone: 'north',
					metrics: {
						countWithheldHedge(_service: string, reason: HedgeObstacle) {
							withheld.push(reason);
						},
					},
					queryBudget: {take: () => 1},
					loadQuerier: {
						query({onReadings}: {onReadings(readings: readonly unknown[]): void}) {
							setTimeout(onReadings, queryMilliseconds, firstReading === undefined ? [] : [{candidate: firstServer, reading: firstReading}]);
						},
					},
					mayDispatch: () => true,
					getWorkspaces: () => undefined,
					...(options.isLinkBusy === undefined ? {} : {link: {isBusy: () => options.isLinkBusy}}),
				},
				fail(error: unknown) {
					throw error;
				},
			},
		} as unknown as RequestProgress;
		try {
			scheduleHedge(progress, (_progress, candidate, kind) => {
				sentAt.push(time.getNow());
				progress.attempts++;
				progress.running.add({
					attempt: running.attempt, candidate, kind, startedAt: time.getNow(),
				});
			});
			while (time.getNow() < testMilliseconds) {
				if (time.getNow() === options.answeredAt) {
					progress.isSettled = true;
				}

				await time.advance();
			}
		} finally {
			time.stop();
		}

		expect<Expected>({sentAt: sentAt.at(0), withheld: [...new Set(withheld)]}).toEqual(expected);
		expect(sentAt.length <= 1).toEqual(true);
	}

	test('hedges when the server states that it is slow, and once only', async () => {
		await doTest({}, {sentAt: 14, withheld: []});
	});
	test('hedges when the server does not reply', async () => {
		await doTest({first: undefined}, {sentAt: 14, withheld: []});
	});
	test('hedges a request of a server at its usual speed only when it is certainly late', async () => {
		await doTest({first: usual}, {sentAt: 102, withheld: ['not-slow']});
	});
	test('hedges what is late whatever its server states, with tokens that would be lost', async () => {
		await doTest({first: usual, requests: 3}, {sentAt: 12, withheld: []});
		await doTest({askedCandidates: 0, requests: 3}, {sentAt: 12, withheld: []});
		await doTest({second: {zone: 'south'}, requests: 3}, {sentAt: 102, withheld: ['other-zone']});
	});
	test('hedges only what is certainly late where servers are not queried', async () => {
		await doTest({askedCandidates: 0}, {sentAt: 102, withheld: ['not-slow']});
	});
	test('hedges nothing that is answered in time, or before another server is selected', async () => {
		await doTest({answeredAt: 9}, {sentAt: undefined, withheld: []});
		await doTest({answeredAt: 13}, {sentAt: undefined, withheld: []});
	});
	test('never hedges on a cold server', async () => {
		await doTest({second: {isCold: true}}, {sentAt: undefined, withheld: ['cold']});
	});
	test('never hedges without a server that has room', async () => {
		await doTest({second: undefined}, {sentAt: undefined, withheld: ['no-server']});
	});
	test('never hedges on a server that is unlikely to be sooner', async () => {
		await doTest({second: {reading: slow}}, {sentAt: undefined, withheld: ['not-sooner']});
		await doTest({second: {reading: {...usual, running: 5}}}, {sentAt: undefined, withheld: ['not-sooner']});
	});
	test('hedges in another zone only what is certainly late, and no large response', async () => {
		await doTest({second: {zone: 'south'}}, {sentAt: 102, withheld: ['other-zone']});
		await doTest({second: {zone: 'south'}, hasLargeResponses: true, isLinkBusy: false}, {sentAt: undefined, withheld: ['other-zone']});
	});
	test('never hedges a large response unless the link is known to be free', async () => {
		await doTest({hasLargeResponses: true}, {sentAt: undefined, withheld: ['link-busy']});
		await doTest({hasLargeResponses: true, isLinkBusy: true}, {sentAt: undefined, withheld: ['link-busy']});
		await doTest({hasLargeResponses: true, isLinkBusy: false}, {sentAt: 14, withheld: []});
	});
	test('never hedges while requests wait', async () => {
		await doTest({waitingRequests: 1}, {sentAt: undefined, withheld: ['waiting']});
	});
	test('never hedges beyond the ratio', async () => {
		await doTest({ratio: 0.01}, {sentAt: undefined, withheld: ['ratio']});
	});
	test('never hedges where the ratio of the settings or of the document is 0', async () => {
		await doTest({ratio: 0}, {sentAt: undefined, withheld: []});
		await doTest({hedgeRatio: 0}, {sentAt: undefined, withheld: []});
	});
	test('never hedges what must not be repeated', async () => {
		await doTest({method: 'PUT'}, {sentAt: undefined, withheld: []});
		await doTest({isIdempotent: false}, {sentAt: undefined, withheld: []});
		await doTest({isStreamed: true}, {sentAt: undefined, withheld: []});
		await doTest({attemptLimit: 1}, {sentAt: undefined, withheld: []});
	});
});

describe('recordAnswer', () => {
	test('records the latency of a cancelled attempt too, so that hedges do not hide how slow servers are', () => {
		const recorded: number[] = [];
		const outcomes: string[] = [];
		const createAttempt = (kind: RunningAttempt['kind'], startedAt: number): RunningAttempt => ({
			attempt: {cancel: doNothing, wasDispatched: () => true}, candidate: createServer(1, 'north', false), kind, startedAt,
		});
		const record = recorded.push.bind(recorded);
		recordAnswer({
			running: new Set([createAttempt('first', 0)]),
			admitted: {
				service: {name: 'stock'}, state: {hedging: {getLatencies: () => ({record})}}, route: {}, context: {
					metrics: {
						countHedge(_service: string, outcome: string) {
							outcomes.push(outcome);
						},
					},
				},
			},
		} as unknown as RequestProgress, createAttempt('hedge', 200), 300);
		expect([recorded, outcomes]).toEqual([[100, 300], ['won']]);
	});
});

function doNothing(): void {
	// Nothing is cancelled.
}
