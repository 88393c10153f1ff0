/** Documents, servers and renewals for slopes. */
import {announcementSchema, type Announcement} from '../../source/announcement/index.js';
import {documentSchema, type EnvironmentDocument} from '../../source/configuration/index.js';
import {createStateMachine, type StateMachine} from '../../source/control/index.js';
import {type Grant, type Renewal} from '../../source/lease/index.js';

/** Term of the leases. */
export const termMilliseconds = 3000;

/** Bounds of the ledger, larger than any slope needs. */
export const limits = {retentionMilliseconds: 600_000_000, maximumClaims: 10_000_000, maximumStoredBytes: 4_000_000_000};

/** Gets the announcement of a server of one of so many services. */
export function getAnnouncement(number: number, services: number): Announcement {
	return announcementSchema.parse({
		service: `service-${number % services}`, name: `server-${number}`, host: '10.0.0.1', port: 8000, zone: `zone-${number % 3}`, slots: 6, connections: 250, boot: `boot-${number}`, state: 'warm',
	});
}

/** Gets a document of so many services. */
export function getDocument(services: number): EnvironmentDocument {
	return documentSchema.parse({
		zones: [{name: 'zone-0'}, {name: 'zone-1'}, {name: 'zone-2'}], services: Array.from({length: services}, (_, index) => ({name: `service-${index}`, path: `/service-${index}`})),
	});
}

/** Creates a state machine that holds so many warm servers. */
export function createFilled(servers: number, services: number): StateMachine {
	const machine = createStateMachine(limits);
	machine.apply({
		area: 'configuration', command: {
			kind: 'apply', environment: 'production', base: 0, change: 'first', update: {kind: 'whole', document: getDocument(services)}, author: 'bench', at: 0,
		},
	});
	for (let number = 0; number < servers; number++) {
		machine.apply({area: 'registry', command: {kind: 'announced', announcement: getAnnouncement(number, services), at: 0}});
		machine.apply({area: 'registry', command: {kind: 'warmed', id: number + 1, at: 0}});
	}

	return machine;
}

/** Gets the renewal that follows a grant. */
export function getRenewal(entry: string, sequence: number, grant: Grant | undefined): Renewal {
	return {
		kind: 'renewal', entry, environment: 'production', sequence, acknowledged: sequence - 1, version: grant?.version ?? 0, epoch: grant?.epoch ?? 0, revision: grant?.revision ?? 0, peersRevision: grant?.peersRevision ?? 0, observations: [], failedProbes: [], heard: [], crashes: [], peer: {name: entry, host: '10.0.0.2', port: 8082}, isFinal: false,
	};
}
