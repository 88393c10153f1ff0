import {describe, test} from 'node:test';
import {expect} from 'earl';
import {getNextMembership, type MembershipView} from './membership.js';
import {type Membership} from './message.js';

const five = ['a:1', 'b:1', 'c:1', 'd:1', 'e:1'];

function getHost(replica: string): string {
	return replica.slice(0, replica.indexOf(':'));
}

function view(membership: Membership, changes: Partial<MembershipView> & {readonly silent?: readonly string[]} = {}): MembershipView {
	const {silent = [], ...rest} = changes;
	return {
		self: 'a:1', membership, lastIndex: 100, joining: [], getMatchIndex: () => 100, getHost, maximumVoters: 5, getSilenceMilliseconds: id => silent.includes(id) ? 1600 : 0, ...rest,
	};
}

describe('getNextMembership: a limited number of voters', () => {
	function doTest(from: MembershipView, expected: Membership | undefined): void {
		expect(getNextMembership(from)).toEqual(expected);
	}

	test('keeps a sixth host as a learner while all five voters respond', () => {
		doTest(view({voters: five, learners: ['f:1']}, {joining: ['f:1']}), undefined);
	});
	test('promotes the sixth host once a voter is silent', () => {
		doTest(view({voters: five, learners: ['f:1']}, {joining: ['f:1'], silent: ['c:1']}), {voters: [...five, 'f:1'], learners: []});
	});
	test('removes the silent voter only after its successor has become a voter', () => {
		doTest(view({voters: [...five, 'f:1'], learners: []}, {joining: ['f:1'], silent: ['c:1']}), {voters: ['a:1', 'b:1', 'd:1', 'e:1', 'f:1'], learners: []});
	});
	test('keeps silent voters that no learner can replace', () => {
		doTest(view({voters: five, learners: []}, {silent: ['c:1', 'd:1']}), undefined);
	});
	test('does not promote a learner that lags', () => {
		doTest(view({voters: five, learners: ['f:1']}, {joining: ['f:1'], silent: ['c:1'], getMatchIndex: id => id === 'f:1' ? 10 : 100}), undefined);
	});
	test('replaces a lost identity of the same host at the maximum number of voters', () => {
		doTest(view({voters: five, learners: ['c:2']}, {joining: ['c:2']}), {voters: [...five, 'c:2'], learners: []});
		doTest(view({voters: [...five, 'c:2'], learners: []}, {joining: ['c:2']}), {voters: ['a:1', 'b:1', 'd:1', 'e:1', 'c:2'], learners: []});
	});
	test('keeps the newest identity of a host that lost its disk twice', () => {
		doTest(view({voters: five, learners: ['c:3']}, {joining: ['c:2', 'c:3'], getMatchIndex: () => 0}), undefined);
	});
	test('grows to the maximum number of voters', () => {
		doTest(view({voters: ['a:1', 'b:1', 'c:1'], learners: ['d:1']}, {joining: ['d:1']}), {voters: ['a:1', 'b:1', 'c:1', 'd:1'], learners: []});
	});
});

describe('getNextMembership: repeated losses', () => {
	/** Replaces each lost host by one at a new address, and applies membership changes until none is needed. */
	function doTest(lost: ReadonlyArray<readonly string[]>): void {
		let membership: Membership = {voters: five, learners: []};
		const lostReplicas = new Set<string>();
		const joining: string[] = [];
		for (const [round, hosts] of lost.entries()) {
			for (const replica of hosts) {
				lostReplicas.add(replica);
				joining.push(`${getHost(replica)}-new${round}:1`);
			}

			for (let next = getNextMembership(view(membership, {joining, silent: [...lostReplicas]})); next !== undefined; next = getNextMembership(view(membership, {joining, silent: [...lostReplicas]}))) {
				const alive = next.voters.filter(voter => !lostReplicas.has(voter)).length;
				expect(alive * 2 > next.voters.length).toEqual(true);
				membership = next;
			}
		}

		expect(membership.voters.length).toEqual(5);
		expect(membership.voters.some(voter => lostReplicas.has(voter))).toEqual(false);
	}

	test('replaces one lost voter at a time', () => {
		doTest([['b:1'], ['c:1']]);
	});
	test('replaces two voters lost at once, and then two more', () => {
		doTest([['b:1', 'c:1'], ['d:1', 'e:1']]);
	});
});
