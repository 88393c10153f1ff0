/** Checks what was read of the configuration against what was declared: the highest version is in force, and versions only rise. */
import {type DeclarationRecord, type VersionRead} from './history.js';

/**
 * Finds a read that contradicts the declarations or an earlier read; undefined if there is none.
 * @param declarations - Declarations of versions.
 * @param reads - Reads of the version in force; version 0 stands for none.
 */
export function findVersionFault(declarations: readonly DeclarationRecord[], reads: readonly VersionRead[]): string | undefined {
	for (const read of reads) {
		const isDeclared = read.version === 0 || declarations.some(({version, startedAt}) => version === read.version && startedAt < read.endedAt);
		const leastByDeclarations = declarations.filter(({isAcknowledged, endedAt}) => isAcknowledged && endedAt < read.startedAt).map(({version}) => version);
		const leastByReads = reads.filter(({reader, endedAt}) => endedAt < read.startedAt || (reader === read.reader && endedAt < read.endedAt)).map(({version}) => version);
		const least = Math.max(0, ...leastByDeclarations, ...leastByReads);
		if (!isDeclared || read.version < least) {
			const reason = isDeclared ? `after version ${least} was` : 'which nobody had declared';
			return `${read.reader} was told between the moments ${read.startedAt} and ${read.endedAt} that version ${read.version} is in force, ${reason}`;
		}
	}

	return undefined;
}
