/** Slopes of documents and their versions. */
import {
	applyDocumentUpdate, documentSchema, getDocumentUpdate, type DocumentUpdate,
} from '../../source/configuration/index.js';
import {createStateMachine} from '../../source/control/index.js';
import {createFleet} from '../../source/entry/fleet.js';
import {createRouter} from '../../source/entry/router.js';
import {createRandom} from '../../source/randomness/index.js';
import {decode, encode} from '../../source/wire/index.js';
import {type BenchRow} from '../report.js';
import {createDocument, ledgerLimits} from './sample.js';
import {measureMicroseconds, getLiveHeapBytes} from './measuring.js';

/** Documents as the number of services grows. */
export function measureDocuments(services: number): BenchRow {
	const document = createDocument(services);
	const fleet = createFleet(createRandom(1));
	const changed = {...document, services: document.services.map((service, index) => index === 0 ? {...service, queueLength: 7} : service)};
	const update = getDocumentUpdate(document, changed);
	const decoded = decode(encode(update)) as DocumentUpdate;
	return {
		slope: 'document', services, bytes: encode(document).length, updateBytes: encode(update).length, makeUpdateMicroseconds: measureMicroseconds(3, () => {
			getDocumentUpdate(document, changed);
		}), applyUpdateMicroseconds: measureMicroseconds(3, () => {
			applyDocumentUpdate(document, decoded);
		}), checkMicroseconds: measureMicroseconds(3, () => {
			documentSchema.parse(document);
		}), enforceMicroseconds: measureMicroseconds(3, () => {
			createRouter(document.services);
			fleet.setDocument(document);
		}),
	};
}

/** Versions of a large document that differ in one service each, in memory and in a snapshot. */
export function measureVersions(versions: number): BenchRow {
	const services = 1300;
	const before = getLiveHeapBytes();
	const machine = createStateMachine(ledgerLimits);
	let logBytes = 0;
	for (let base = 0; base < versions; base++) {
		const document = createDocument(services);
		const edited = {...document, services: document.services.map((service, index) => index === base ? {...service, queueLength: 7} : service)};
		const command = machine.register.encodeAsDelta({
			kind: 'apply', environment: 'production', base, change: `change-${base}`, update: {kind: 'whole', document: edited}, author: 'bench', at: 0,
		});
		logBytes += encode(command).length;
		machine.apply({area: 'configuration', command: decode(encode(command)) as typeof command});
	}

	const heapBytes = getLiveHeapBytes() - before;
	return {
		slope: 'versions', versions, services, logBytesForEach: logBytes / versions, heapMegabytes: heapBytes / 1_000_000, snapshotBytes: encode(machine.takeSnapshot()).length,
	};
}
