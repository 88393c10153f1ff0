import {describe, test} from 'node:test';
import {expect} from 'earl';
import {documentSchema, getDocumentUpdate, type DocumentUpdate} from '../configuration/index.js';
import {type ControlClient} from '../control-client/index.js';
import {type Grant, type Renewal} from '../lease/index.js';
import {keepLease, type LeaseKeeper} from './lease-keeper.js';

function getDocument(services: readonly string[]): ReturnType<typeof documentSchema.parse> {
	return documentSchema.parse({zones: [{name: 'north'}], services: services.map(name => ({name, path: `/${name}`}))});
}

const first = getDocument(['a', 'b', 'c', 'd']);
const second = getDocument(['a', 'b', 'c', 'd', 'e']);
const stranger = getDocument(['a', 'b', 'x', 'y', 'z']);

describe('keepLease: documents', () => {
	type Expected = {readonly inForce: number; readonly isValid: boolean; readonly asksFor: number};

	/** Grants the first version whole, then the second as an update. */
	function doTest(update: DocumentUpdate, expected: Expected): void {
		const renewals: Renewal[] = [];
		const enforced: number[] = [];
		const client: Pick<ControlClient, 'sendToLeader' | 'setLeader'> = {
			sendToLeader(message) {
				renewals.push(message as Renewal);
			},
			setLeader() {
				// The test has one leader.
			},
		};
		const keeper: LeaseKeeper = keepLease({
			entry: 'one', environment: 'production', renewMilliseconds: 60_000, peer: undefined, getClient: () => client as ControlClient, takeObservations: () => [], takeFailedProbes: () => [], takeUnchangedServers: () => [],
			applyGrant(_grant, document) {
				enforced.push(document?.services.length ?? 0);
			},
			setQuarantined() {
				// Nothing is refused here.
			},
		});

		function grant(version: number, document: DocumentUpdate): void {
			keeper.renew();
			const message: Grant = {
				kind: 'grant', sequence: renewals.length, termMilliseconds: 60_000, epoch: 1, revision: 0, isWhole: true, servers: [], version, document, permits: [], duties: [], probeMilliseconds: 1000, quarantined: [], zonesOut: [], entries: 1, peersRevision: 0, peers: [],
			};
			keeper.receive('control', message);
		}

		grant(1, {kind: 'whole', document: first});
		const expiresAt = keeper.holder.getExpiresAt();
		grant(2, update);
		const isExtended = keeper.holder.getExpiresAt() > expiresAt;
		keeper.renew();
		expect({inForce: enforced.at(-1), isValid: isExtended, asksFor: renewals.at(-1)!.version}).toEqual(expected);
		keeper.stop();
	}

	test('come into force as a difference', () => {
		doTest(getDocumentUpdate(first, second), {inForce: 5, isValid: true, asksFor: 2});
	});
	test('come into force whole', () => {
		doTest({kind: 'whole', document: second}, {inForce: 5, isValid: true, asksFor: 2});
	});
	test('that belong to another document are refused with their lease, and asked for whole', () => {
		const update = getDocumentUpdate(stranger, {...stranger, zones: [{name: 'south', inService: true}]});
		doTest(update, {inForce: 4, isValid: false, asksFor: 0});
	});
});
