/** Measures the cost of documents and their versions. */
import {
	applyDocumentUpdate, documentSchema, getDocumentUpdate, type DocumentUpdate,
} from '../../source/configuration/index.js';
import {createStateMachine} from '../../source/control/index.js';
import {createFleet} from '../../source/entry/fleet/fleet.js';
import {createRouter} from '../../source/entry/routing/router.js';
import {createRandom} from '../../source/randomness/index.js';
import {decode, encode} from '../../source/wire/index.js';
import {type BenchRow} from '../report.js';
import {createDocument, ledgerLimits} from './fixtures.js';
import {measureMicroseconds, getLiveHeapBytes} from './measuring.js';

/** Measures the size of a document with a number of services and of an update that changes one service, and the time to process them. */
export function measureDocuments(serviceCount: number): BenchRow {
	const document = createDocument(serviceCount);
	const fleet = createFleet(createRandom(1));
	const changedDocument = {...document, services: document.services.map((service, index) => index === 0 ? {...service, queueLength: 7} : service)};
	const update = getDocumentUpdate(document, changedDocument);
	const decodedUpdate = decode(encode(update)) as DocumentUpdate;
	return {
		slope: 'document',
		services: serviceCount,
		bytes: encode(document).length,
		updateBytes: encode(update).length,
		makeUpdateMicroseconds: measureMicroseconds(3, () => {
			getDocumentUpdate(document, changedDocument);
		}),
		applyUpdateMicroseconds: measureMicroseconds(3, () => {
			applyDocumentUpdate(document, decodedUpdate);
		}),
		checkMicroseconds: measureMicroseconds(3, () => {
			documentSchema.parse(document);
		}),
		enforceMicroseconds: measureMicroseconds(3, () => {
			createRouter(document.services);
			fleet.setDocument(document);
		}),
	};
}

/** Measures the size of versions of a large document, each with a different service changed: in the log, in memory and in a snapshot. */
export function measureVersions(versionCount: number): BenchRow {
	const serviceCount = 1300;
	const heapBytesBefore = getLiveHeapBytes();
	const stateMachine = createStateMachine(ledgerLimits);
	let logBytes = 0;
	for (let base = 0; base < versionCount; base++) {
		const document = createDocument(serviceCount);
		const changedDocument = {...document, services: document.services.map((service, index) => index === base ? {...service, queueLength: 7} : service)};
		const command = stateMachine.register.encodeAsDelta({
			kind: 'apply', environment: 'production', base, change: `change-${base}`, update: {kind: 'whole', document: changedDocument}, author: 'bench', at: 0,
		});
		logBytes += encode(command).length;
		stateMachine.apply({area: 'configuration', command: decode(encode(command)) as typeof command});
	}

	const heapBytes = getLiveHeapBytes() - heapBytesBefore;
	return {
		slope: 'versions',
		versions: versionCount,
		services: serviceCount,
		logBytesForEach: logBytes / versionCount,
		heapMegabytes: heapBytes / 1_000_000,
		snapshotBytes: encode(stateMachine.takeSnapshot()).length,
	};
}
