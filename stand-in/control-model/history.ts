/**
 * Records what operators order and read, and what entries are told. Every start and end is a moment; moments are ordered as they happen.
 */

/** Order for a zone. Its sender sends it again until it is acknowledged, or gives it up. */
export type ZoneOrderRecord = {
	readonly zone: string;
	readonly isOut: boolean;
	readonly startedAt: number;
	/** Moment of the acknowledgement, or at which the sender gave the order up. */
	endedAt: number;
	isAcknowledged: boolean;
};

/** What a reader was told of a zone between two moments. */
export type ZoneRead = {readonly zone: string; readonly isOut: boolean; readonly startedAt: number; readonly endedAt: number; readonly reader: string};

/** Declaration of a version of the configuration. */
export type DeclarationRecord = {readonly version: number; readonly startedAt: number; endedAt: number; isAcknowledged: boolean};

/** Version that a reader was told, or 0 if there was none. */
export type VersionRead = {readonly version: number; readonly startedAt: number; readonly endedAt: number; readonly reader: string};

/** What happened in a run. */
export type History = {
	readonly orders: readonly ZoneOrderRecord[];
	readonly zoneReads: readonly ZoneRead[];
	readonly declarations: readonly DeclarationRecord[];
	readonly versionReads: readonly VersionRead[];
};

/** Recorder of a history. */
export type HistoryRecorder = History & {
	/** Gets a moment that is later than all earlier ones. */
	takeMoment(): number;
	startOrder(zone: string, isOut: boolean): ZoneOrderRecord;
	startDeclaration(version: number): DeclarationRecord;
	end(record: ZoneOrderRecord | DeclarationRecord, isAcknowledged: boolean): void;
	recordZones(reader: string, zones: readonly string[], zonesOut: readonly string[], startedAt: number): void;
	recordVersion(reader: string, version: number, startedAt: number): void;
};

/** Creates an empty history. */
export function createHistory(): HistoryRecorder {
	const orders: ZoneOrderRecord[] = [];
	const zoneReads: ZoneRead[] = [];
	const declarations: DeclarationRecord[] = [];
	const versionReads: VersionRead[] = [];
	let moment = 0;

	function takeMoment(): number {
		moment++;
		return moment;
	}

	return {
		orders,
		zoneReads,
		declarations,
		versionReads,
		takeMoment,
		startOrder(zone, isOut) {
			const order: ZoneOrderRecord = {
				zone, isOut, startedAt: takeMoment(), endedAt: Number.POSITIVE_INFINITY, isAcknowledged: false,
			};
			orders.push(order);
			return order;
		},
		startDeclaration(version) {
			const declaration: DeclarationRecord = {
				version, startedAt: takeMoment(), endedAt: Number.POSITIVE_INFINITY, isAcknowledged: false,
			};
			declarations.push(declaration);
			return declaration;
		},
		end(record, isAcknowledged) {
			record.endedAt = takeMoment();
			record.isAcknowledged = isAcknowledged;
		},
		recordZones(reader, zones, zonesOut, startedAt) {
			const endedAt = takeMoment();
			for (const zone of zones) {
				zoneReads.push({
					zone, isOut: zonesOut.includes(zone), startedAt, endedAt, reader,
				});
			}
		},
		recordVersion(reader, version, startedAt) {
			versionReads.push({
				version, startedAt, endedAt: takeMoment(), reader,
			});
		},
	};
}
