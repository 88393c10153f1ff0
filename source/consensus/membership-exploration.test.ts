import {describe, test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {getNextMembership, voterReplacementSilenceMilliseconds, type MembershipView} from './membership.js';
import {type Membership} from './message.js';

const voterCount = 5;

/** Number of voters that may be lost at the same time without losing the quorum. */
const toleratedLosses = 2;

const lastIndex = 1000;

type Loss = {readonly kind: 'silence' | 'disk' | 'host'; readonly number: number};

/** Creates a group of replicas whose leader replaces lost voters, one membership change at a time. */
function createGroup() {
	let membership: Membership = {voters: Array.from({length: voterCount}, (_, index) => `h${index}:1`), learners: []};
	const silent = new Set<string>();
	const joining: string[] = [];
	const lagging = new Set<string>();
	let nextIdentity = 2;
	let changes = 0;

	function getHost(replica: string): string {
		return replica.slice(0, replica.indexOf(':'));
	}

	function getAlive(): readonly string[] {
		return membership.voters.filter(voter => !silent.has(voter));
	}

	function getView(): MembershipView {
		return {
			self: getAlive()[0]!, membership, lastIndex, joining, getMatchIndex: id => lagging.has(id) ? 0 : lastIndex, getHost, maximumVoters: voterCount, getSilenceMilliseconds: id => silent.has(id) ? voterReplacementSilenceMilliseconds : 0,
		};
	}

	/** Checks a new membership against the previous one. */
	function checkChange(view: MembershipView, next: Membership): void {
		const added = next.voters.filter(voter => !membership.voters.includes(voter));
		const removed = membership.voters.filter(voter => !next.voters.includes(voter));
		expect(added.length + removed.length <= 1).toEqual(true);
		expect(removed.includes(view.self)).toEqual(false);
		expect(next.voters.length <= voterCount + 1).toEqual(true);
		expect(added.some(voter => lagging.has(voter) || silent.has(voter))).toEqual(false);
		for (const voter of removed) {
			const isReplaced = next.voters.some(other => getHost(other) === getHost(voter));
			expect(isReplaced || (silent.has(voter) && membership.voters.length > voterCount)).toEqual(true);
		}
	}

	/** Removes the join requests of removed members, as the leader does. */
	function removeFromJoining(next: Membership): void {
		const kept = new Set([...next.voters, ...next.learners]);
		for (const member of [...membership.voters, ...membership.learners]) {
			if (!kept.has(member) && joining.includes(member)) {
				joining.splice(joining.indexOf(member), 1);
			}
		}
	}

	/** Checks that the responding voters are a quorum. */
	function checkQuorum(): void {
		expect(getAlive().length * 2 > membership.voters.length).toEqual(true);
	}

	return {
		/** Loses a voter if the quorum survives the loss. Its host may return with an empty disk, or another host may replace it. */
		lose({kind, number}: Loss) {
			const alive = getAlive();
			const lost = membership.voters.length - alive.length;
			const replica = alive[number % alive.length]!;
			if (lost >= toleratedLosses || alive.length <= toleratedLosses + 1) {
				return;
			}

			silent.add(replica);
			if (kind !== 'silence') {
				const successor = `${kind === 'disk' ? getHost(replica) : `h${number}n${nextIdentity}`}:${nextIdentity++}`;
				joining.push(successor);
				lagging.add(successor);
			}

			checkQuorum();
		},
		/** Restores the responses of a silent replica whose disk was not lost. */
		recover(number: number) {
			const back = [...silent].filter(replica => joining.every(joiner => getHost(joiner) !== getHost(replica)));
			silent.delete(back[number % Math.max(1, back.length)] ?? '');
		},
		catchUpAll() {
			lagging.clear();
		},
		change() {
			const view = getView();
			const next = getNextMembership(view);
			if (next !== undefined) {
				checkChange(view, next);
				removeFromJoining(next);
				membership = next;
				changes++;
				checkQuorum();
			}

			return next !== undefined;
		},
		getMembership: () => membership,
		getAlive,
		getChanges: () => changes,
	};
}

describe('getNextMembership', () => {
	function doTest(runs: number, seed: number): void {
		let changes = 0;
		fc.assert(fc.property(fc.array(fc.tuple(fc.nat(99), fc.nat(1000)), {minLength: 30, maxLength: 200, size: 'max'}), steps => {
			const group = createGroup();
			for (const [kind, number] of steps) {
				if (kind < 25) {
					group.lose({kind: (['silence', 'disk', 'host'] as const)[number % 3]!, number});
				} else if (kind < 35) {
					group.recover(number);
				} else if (kind < 55) {
					group.catchUpAll();
				} else {
					group.change();
				}
			}

			group.catchUpAll();
			let left = 100;
			while (left > 0 && group.change()) {
				left--;
			}

			expect(left > 0).toEqual(true);
			changes += group.getChanges();
		}), {seed, numRuns: runs, endOnFailure: true});
		expect(changes > runs).toEqual(true);
	}

	test('changes one voter at a time, never removes a responding voter without a replacement and keeps a responding quorum', () => {
		doTest(300, 81);
	});
});
