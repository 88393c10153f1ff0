import {describe, test} from 'node:test';
import {expect} from 'earl';
import {startVirtualTime} from '../../../stand-in/model/virtual-time.js';
import {type ControlResponse, type QuotaQuestion} from '../../control/message.js';
import {createQuotaTokens} from '../../quota/index.js';
import {type Log} from '../../telemetry/index.js';
import {type Access} from '../../workspace/index.js';
import {createQuotaGate, type QuotaOutcome} from './quota-gate.js';

const quota = {requestsPerSecond: 10, burst: 5};
const access: Access = {kind: 'granted', workspace: {name: 'one', keyDigests: [], quota}, digest: ''};
const answerMilliseconds = 5;

type Scene = {
	/** Gets the answer of the leader to the nth question, which takes some milliseconds; undefined if it does not answer. */
	readonly answer: (question: QuotaQuestion, number: number) => Partial<Extract<ControlResponse, {readonly kind: 'quota'}>> | undefined;
	/** Times at which requests arrive. */
	readonly arrivals: readonly number[];
	readonly remainingMilliseconds?: number;
	readonly mayHoldTokens?: boolean;
};

type Outcome = readonly [kind: string, at: number];

// Guards against requests that wait too long for a token, and against a leader that is asked for each request.
describe('createQuotaGate', () => {
	async function play({answer, arrivals, remainingMilliseconds = 2000, mayHoldTokens = true}: Scene): Promise<{readonly outcomes: readonly Outcome[]; readonly waiting: readonly number[]; readonly lines: readonly string[]}> {
		const time = startVirtualTime();
		const waiting: number[] = [];
		const lines: string[] = [];
		const outcomes: Outcome[] = [];
		const tokens = createQuotaTokens();
		tokens.setWorkspaces([{name: 'one', keyDigests: [], quota}]);
		const gate = createQuotaGate({
			environment: 'production',
			process: 'p',
			tokens,
			metrics: {
				countQuotaToken() {
					// Not read here.
				},
				countQuotaQuestion() {
					// Not read here.
				},
			},
			log: {
				info(_: unknown, line: string) {
					lines.push(line);
				},
			} as unknown as Log,
			getClient: () => ({
				async submit(request, timeoutMilliseconds) {
					const question = request as QuotaQuestion;
					waiting.push(question.waiting);
					const answered = answer(question, waiting.length);
					return new Promise(resolve => {
						setTimeout(resolve, answered === undefined ? timeoutMilliseconds : answerMilliseconds, answered === undefined
							? {kind: 'unknown'}
							: {
								kind: 'quota', epoch: 1, granted: 0, total: 0, held: 0, retryMilliseconds: 0, ...answered,
							});
					});
				},
			}),
			mayHoldTokens: () => mayHoldTokens,
			mayUseAnswer: () => true,
		});
		async function enter(): Promise<void> {
			const outcome: QuotaOutcome = await gate.enter(access, time.getNow() + remainingMilliseconds);
			outcomes.push([outcome.kind === 'refused' ? outcome.reason : outcome.kind, time.getNow()]);
		}

		while (time.getNow() < 1000) {
			for (const _ of arrivals.filter(at => at === time.getNow())) {
				void enter();
			}

			// Lets what is decided at once be recorded before time passes.
			await new Promise<void>(resolve => {
				setImmediate(resolve);
			});
			await time.advance();
		}

		time.stop();
		return {outcomes, waiting, lines};
	}

	test('asks once for all requests that wait', async () => {
		const {outcomes, waiting} = await play({answer: (_, number) => ({granted: number === 1 ? 1 : 4}), arrivals: [10, 11, 12, 13]});
		expect(outcomes).toEqual([['taken', 15], ['taken', 20], ['taken', 20], ['taken', 20]]);
		expect(waiting).toEqual([1, 3]);
	});
	test('refuses while the quota is used up, without asking for each request', async () => {
		const {outcomes, waiting, lines} = await play({answer: () => ({retryMilliseconds: 400}), arrivals: [10, 20, 200, 450]});
		expect(outcomes).toEqual([['quota', 15], ['quota', 20], ['quota', 200], ['quota', 455]]);
		expect([waiting, lines]).toEqual([[1, 1], ['the quota of a workspace is used up']]);
	});
	test('asks again, and gives up after a tenth of a second', async () => {
		const {outcomes, waiting} = await play({answer: () => undefined, arrivals: [10]});
		expect(outcomes).toEqual([['quota-unavailable', 110]]);
		expect(waiting.length > 1 && waiting.length <= 4).toEqual(true);
	});
	test('does not wait beyond the deadline of a request', async () => {
		const {outcomes} = await play({answer: () => undefined, arrivals: [10], remainingMilliseconds: 30});
		expect(outcomes).toEqual([['quota-unavailable', 40]]);
	});
	test('takes the answer to a question that follows a lost one', async () => {
		const {outcomes} = await play({answer: (_, number) => number === 1 ? undefined : {granted: 1}, arrivals: [10]});
		expect(outcomes).toEqual([['taken', 41]]);
	});
	test('refuses at once without a lease', async () => {
		const {outcomes, waiting} = await play({answer: () => ({granted: 9}), arrivals: [10], mayHoldTokens: false});
		expect([outcomes, waiting]).toEqual([[['quota-unavailable', 10]], []]);
	});
});
