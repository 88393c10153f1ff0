import {describe, test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {announcementSchema} from '../announcement/index.js';
import {createCandidate, type Candidate} from '../choice/index.js';
import {createRateAllocator} from './rate-allocator.js';

const termMilliseconds = 3000;
const renewMilliseconds = 500;
const stepMilliseconds = 5;
const durationMilliseconds = 8000;
const requestsPerSecond = 18;

/** Maximum number of requests per second to a cold server that its operators allow: one and a half times its rate, plus five. */
const boundPerSecond = (requestsPerSecond * 1.5) + 5;

/** An entry that renews its lease, except while it is disconnected. */
type Holder = {readonly name: string; readonly candidates: readonly Candidate[]; renewAt: number; expiresAt: number};

/** Period in which an entry receives nothing from the leader and keeps using its permits. */
type Disconnection = readonly [entry: number, from: number, milliseconds: number];

function createCandidates(count: number): readonly Candidate[] {
	return Array.from({length: count}, (_, index) => createCandidate(index + 1, announcementSchema.parse({
		service: 'stock', name: `s${index + 1}`, host: '127.0.0.1', port: 1, zone: 'north', slots: 6, connections: 100, boot: 'b', state: 'warm',
	}), 'cold'));
}

/** Simulates a zone that is put back into service with cold servers, and returns the times at which each server received a request. */
function simulate(entryCount: number, serverCount: number, disconnections: readonly Disconnection[]): ReadonlyArray<readonly number[]> {
	const allocator = createRateAllocator();
	for (let id = 1; id <= serverCount; id++) {
		allocator.add({
			id, requestsPerSecond, grantableAt: 0, coldUntil: durationMilliseconds,
		});
	}

	const sent: number[][] = Array.from({length: serverCount}, () => []);
	const holders: readonly Holder[] = Array.from({length: entryCount}, (_, index) => ({
		name: `e${index}`, candidates: createCandidates(serverCount), renewAt: index * 17, expiresAt: 0,
	}));
	for (let now = 0; now < durationMilliseconds; now += stepMilliseconds) {
		for (const [index, holder] of holders.entries()) {
			const isDisconnected = disconnections.some(([entry, from, milliseconds]) => entry % entryCount === index && now >= from && now < from + milliseconds);
			if (now >= holder.renewAt && !isDisconnected) {
				renew(holder, now);
			}

			for (const [server, candidate] of holder.candidates.entries()) {
				if (now < holder.expiresAt && candidate.isAvailable(now)) {
					candidate.start(now);
					sent[server]!.push(now);
				}
			}
		}
	}

	function renew(holder: Holder, now: number): void {
		holder.renewAt = now + renewMilliseconds;
		holder.expiresAt = now + termMilliseconds;
		const permits = allocator.grant({
			entry: holder.name, expiresAt: holder.expiresAt, entryCount, now,
		});
		for (const candidate of holder.candidates) {
			candidate.setRate(permits.find(permit => permit.server === candidate.id)?.requestsPerSecond);
		}
	}

	return sent;
}

function getRequestsInBusiestSecond(times: readonly number[]): number {
	return Math.max(0, ...times.map((from, index) => times.slice(index).filter(at => at < from + 1000).length));
}

describe('createRateAllocator', () => {
	function doTest(runCount: number, seed: number): void {
		fc.assert(fc.property(fc.integer({min: 1, max: 25}), fc.integer({min: 1, max: 12}), fc.array(fc.tuple(fc.nat(24), fc.nat(durationMilliseconds), fc.nat(5000)), {maxLength: 12}), (entryCount, serverCount, disconnections) => {
			for (const times of simulate(entryCount, serverCount, disconnections)) {
				expect(getRequestsInBusiestSecond(times) <= boundPerSecond).toEqual(true);
			}
		}), {seed, numRuns: runCount, endOnFailure: true});
	}

	test('keeps every cold server within its bound while entries disconnect and reconnect', () => {
		doTest(25, 91);
	});
});
