/**
 * Plays entries and leaders that share quotas, in virtual time: links lose, duplicate and delay messages, entries are killed, frozen and cut off, and
 * leaders are replaced, some without noticing it. Counts what runs in any window.
 */
import {performance} from 'node:perf_hooks';
import {type ControlResponse, type QuotaQuestion} from '../../source/control/index.js';
import {type Renewal} from '../../source/lease/index.js';
import {type Quota} from '../../source/quota/index.js';
import {createRandom} from '../../source/randomness/index.js';
import {encode} from '../../source/wire/index.js';
import {createQuotaEntryModel, type QuotaEntryModel, type QuotaRenewal} from './quota-entry.js';
import {answerQuestion, createQuotaLeader, type QuotaLeader} from './quota-leader.js';
import {createQuotaLinks} from './quota-links.js';
import {
	type QuotaFault, type QuotaRequest, type QuotaRun, type QuotaRunOptions,
} from './quota-run.js';
import {getLargestShare} from './quota-windows.js';
import {startVirtualTime} from './virtual-time.js';

const termMilliseconds = 3000;
const heartbeatMilliseconds = 100;
const millisecondsPerSecond = 1000;

/** Time for which requests arrive at one rate. */
const loadStepMilliseconds = 100;

/** Time after its end for which a leader that does not notice it answers questions. */
const oblivionMilliseconds = 6000;

type Member = {model: QuotaEntryModel; leader: QuotaLeader | undefined; cutUntil: number; reaches: QuotaLeader | undefined; generation: number};

/**
 * Plays a run.
 * @param options - Workspaces, load, links and faults.
 */
export async function playQuotas(options: QuotaRunOptions): Promise<QuotaRun> {
	const {tolerance, mistake} = options;
	const random = createRandom(options.seed);
	const send = createQuotaLinks(options.links, random);
	const time = startVirtualTime();
	const leaders: QuotaLeader[] = [];
	const runs = options.workspaces.map((): number[] => []);
	const numbers = new Map(options.workspaces.map(({name}, number) => [name, number]));
	const requests: QuotaRequest[] = [];
	let workspaces = [...options.workspaces];
	const lowered: Array<{readonly workspace: number; readonly at: number; readonly quota: Quota}> = [];
	let version = 1;
	let current: QuotaLeader | undefined;
	let questions = 0;
	let bytes = 0;

	function startLeader(hasPredecessor: boolean): void {
		const started = createQuotaLeader({
			epoch: leaders.length + 1, workspaces, hasPredecessor: hasPredecessor && mistake !== 'new-leader-is-first', tolerance, termMilliseconds,
		});
		leaders.push(started);
		current = started;
		nudge(started);
	}

	/** Tells the entries that a leader reaches of its start. */
	function nudge(leader: QuotaLeader): void {
		for (const member of members) {
			send(() => {
				if (isReached(member, leader)) {
					member.leader = leader;
					member.model.nudge();
				}
			});
		}
	}

	function isReached(member: Member, leader: QuotaLeader): boolean {
		return performance.now() >= member.cutUntil || member.reaches === leader;
	}

	function grant(member: Member, model: QuotaEntryModel, leader: QuotaLeader, renewal: QuotaRenewal, receivedAt: number): void {
		// The leadership was confirmed; the decision can still be late.
		setTimeout(() => {
			const granted = leader.lending.grant(renewal as Renewal, receivedAt, performance.now());
			bytes += encode(granted).length;
			send(() => {
				if (isReached(member, leader)) {
					member.leader = leader.epoch >= (member.leader?.epoch ?? 0) ? leader : member.leader;
					model.receive({
						sequence: renewal.sequence, epoch: leader.epoch, termMilliseconds, version: leader === current ? version : 0, workspaces: leader.workspaces, ...granted,
					});
				}
			});
		}, options.isDisturbed && random() < 0.03 ? random() * 3000 : 0);
	}

	function renew(member: Member, model: QuotaEntryModel, renewal: QuotaRenewal, isUnanswered: boolean): void {
		bytes += renewal.quota === undefined ? 0 : encode(renewal.quota).length;
		for (const leader of isUnanswered || member.leader === undefined ? leaders.slice(-2) : [member.leader]) {
			send(() => {
				const receivedAt = performance.now();
				setTimeout(() => {
					if (leader === current && isReached(member, leader)) {
						grant(member, model, leader, renewal, receivedAt);
					}
				}, random() * heartbeatMilliseconds);
			});
		}
	}

	async function ask(member: Member, question: QuotaQuestion, timeoutMilliseconds: number): Promise<ControlResponse> {
		questions++;
		bytes += encode(question).length;
		const leader = member.leader ?? current;
		return new Promise(resolve => {
			setTimeout(resolve, timeoutMilliseconds, {kind: 'unknown'});
			if (leader === undefined) {
				return;
			}

			send(() => {
				if (!isReached(member, leader) || performance.now() >= leader.endsAt) {
					return;
				}

				void answerQuestion(leader, question, () => leader === current || mistake === 'confirms-without-quorum').then(response => {
					bytes += encode(response).length;
					send(() => {
						if (isReached(member, leader)) {
							resolve(response);
						}
					});
				});
			});
		});
	}

	function startEntry(number: number, generation: number): QuotaEntryModel {
		const model: QuotaEntryModel = createQuotaEntryModel({
			process: mistake === 'restarts-as-same-process' ? `p${number}` : `p${number}-${generation}`,
			random,
			isDisturbed: options.isDisturbed,
			renew(renewal, isUnanswered) {
				renew(members[number]!, model, renewal, isUnanswered);
			},
			ask: async (question, timeoutMilliseconds) => ask(members[number]!, question, timeoutMilliseconds),
			onRun(workspace) {
				runs[numbers.get(workspace)!]!.push(performance.now());
			},
			onOutcome(outcome) {
				requests.push({...outcome, at: performance.now()});
			},
		});
		return model;
	}

	const members: Member[] = [];
	startLeader(false);
	for (let number = 0; number < options.entryCount; number++) {
		members.push({
			model: startEntry(number, 0), leader: undefined, cutUntil: 0, reaches: undefined, generation: 0,
		});
	}

	function apply(fault: QuotaFault): void {
		const now = performance.now();
		switch (fault.kind) {
			case 'replaceLeader': {
				if (current !== undefined) {
					current.endsAt = fault.isNoticed ? now : now + oblivionMilliseconds;
					current = undefined;
					setTimeout(() => {
						startLeader(true);
					}, fault.gapMilliseconds);
				}

				return;
			}

			case 'kill': {
				members[fault.entry]!.model.kill();
				return;
			}

			case 'restart': {
				const member = members[fault.entry]!;
				member.model.kill();
				member.generation++;
				member.model = startEntry(fault.entry, member.generation);
				return;
			}

			case 'freeze': {
				members[fault.entry]!.model.freeze(fault.milliseconds);
				return;
			}

			case 'cut': {
				Object.assign(members[fault.entry]!, {cutUntil: now + fault.milliseconds, reaches: fault.keepsLeader ? current : undefined});
				return;
			}

			case 'lower': {
				const {name, keyDigests, quota} = workspaces[fault.workspace]!;
				const next = {requestsPerSecond: quota.requestsPerSecond * fault.factor, burst: quota.burst * fault.factor};
				workspaces = workspaces.map((workspace, index) => index === fault.workspace ? {name, keyDigests, quota: next} : workspace);
				version++;
				lowered.push({workspace: fault.workspace, at: now, quota: next});
				if (current !== undefined) {
					current.workspaces = workspaces;
				}
			}
		}
	}

	for (const fault of options.faults) {
		setTimeout(apply, fault.at, fault);
	}

	function arrive(workspace: number): void {
		const load = options.getLoad(workspace, performance.now());
		const milliseconds = -Math.log(1 - random()) * millisecondsPerSecond / load;
		if (milliseconds > loadStepMilliseconds) {
			setTimeout(arrive, loadStepMilliseconds, workspace);
			return;
		}

		setTimeout(() => {
			const reached = options.entriesByWorkspace[workspace]!;
			members[reached[Math.floor(random() * reached.length)]!]!.model.handle(options.workspaces[workspace]!.name);
			arrive(workspace);
		}, milliseconds);
	}

	for (const workspace of options.workspaces.keys()) {
		setTimeout(arrive, 1000, workspace);
	}

	while (time.getNow() < options.milliseconds) {
		await time.advance();
	}

	time.stop();

	/** Gets the quota that was in force in a whole window: the largest one that an entry may have acted on. */
	function getQuotaAt(workspace: number, from: number): Quota {
		const inForceMilliseconds = termMilliseconds + millisecondsPerSecond + (tolerance.windowSeconds * millisecondsPerSecond);
		return lowered.findLast(change => change.workspace === workspace && change.at + inForceMilliseconds <= from)?.quota ?? options.workspaces[workspace]!.quota;
	}

	return {
		largestShare: Math.max(...runs.map((times, workspace) => getLargestShare(times, tolerance, from => getQuotaAt(workspace, from)))), requests, questions, bytes,
	};
}
