/** Creates the documents, announcements, renewals and state machines that the slopes measure. */
import {announcementSchema, type Announcement} from '../../source/announcement/index.js';
import {documentSchema, type EnvironmentDocument} from '../../source/configuration/index.js';
import {createStateMachine, type StateMachine} from '../../source/control/index.js';
import {type Grant, type Renewal} from '../../source/lease/index.js';

export const leaseTermMilliseconds = 3000;

/** Limits of the ledger; no measurement reaches them. */
export const ledgerLimits = {
	retentionMilliseconds: 600_000_000, maximumClaims: 10_000_000, maximumAnswerBytes: 4_000_000_000, maximumStoredBytes: 4_000_000_000,
};

/**
 * Creates the announcement of a server.
 * @param number - Number of the server, which also determines its service and zone.
 * @param serviceCount - Number of services.
 */
export function createAnnouncement(number: number, serviceCount: number): Announcement {
	return announcementSchema.parse({
		service: `service-${number % serviceCount}`,
		name: `server-${number}`,
		host: '10.0.0.1',
		port: 8000,
		zone: `zone-${number % 3}`,
		slots: 6,
		connections: 250,
		boot: `boot-${number}`,
		state: 'warm',
	});
}

/** Creates a document with a number of services in three zones. */
export function createDocument(serviceCount: number): EnvironmentDocument {
	return documentSchema.parse({
		zones: [{name: 'zone-0'}, {name: 'zone-1'}, {name: 'zone-2'}], services: Array.from({length: serviceCount}, (_, index) => ({name: `service-${index}`, path: `/service-${index}`})),
	});
}

/** Creates a state machine with a document and a number of warm servers. */
export function createPopulatedStateMachine(serverCount: number, serviceCount: number): StateMachine {
	const stateMachine = createStateMachine(ledgerLimits);
	stateMachine.apply({
		area: 'configuration', command: {
			kind: 'apply', environment: 'production', base: 0, change: 'first', update: {kind: 'whole', document: createDocument(serviceCount)}, author: 'bench', at: 0,
		},
	});
	for (let number = 0; number < serverCount; number++) {
		stateMachine.apply({area: 'registry', command: {kind: 'announced', announcement: createAnnouncement(number, serviceCount), at: 0}});
		stateMachine.apply({area: 'registry', command: {kind: 'warmed', id: number + 1, at: 0}});
	}

	return stateMachine;
}

/**
 * Creates the renewal that follows a grant.
 * @param entry - Name of the entry.
 * @param sequence - Sequence number of the renewal.
 * @param grant - Latest grant, or undefined for the first renewal.
 */
export function createRenewal(entry: string, sequence: number, grant: Grant | undefined): Renewal {
	return {
		kind: 'renewal',
		entry,
		environment: 'production',
		sequence,
		acknowledged: sequence - 1,
		version: grant?.version ?? 0,
		epoch: grant?.epoch ?? 0,
		revision: grant?.revision ?? 0,
		peersRevision: grant?.peersRevision ?? 0,
		observations: [],
		failedProbes: [],
		heard: [],
		crashes: [],
		peer: {name: entry, host: '10.0.0.2', port: 8082},
		isFinal: false,
	};
}
