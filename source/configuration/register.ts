/**
 * Versioned register of environment documents: a deterministic state machine that the replicated log
 * drives. A change is accepted only if it is based on the current version (compare-and-set); a command with
 * a repeated change id returns the stored result of the first one.
 */
import {Maybe} from 'true-myth';
import {type EnvironmentDocument} from './document.js';
import {
	getDocumentUpdate, hasExpectedDigest, mergeDocumentUpdate, type DocumentUpdate,
} from './update.js';

/** Name of an environment. */
export type Environment = 'trial' | 'production';

/** Number that is lower than that of any version; it stands for a missing document. */
export const noVersion = -1;

/** Maximum number of change ids whose results are stored for deduplication; the oldest are evicted first. */
const maximumStoredResults = 20_000;

/** Maximum number of versions stored for each environment. */
const maximumVersions = 50;

/** Maximum number of declared versions stored for each environment; older ones remain in the author's version control. */
const maximumDeclaredVersions = 8;

/** Character that decoders of UTF-8 put in place of what is none. */
const replacementCharacter = '\uFFFD';

/** A command of the register. */
export type ConfigurationCommand
	= | {
		readonly kind: 'apply';
		readonly environment: Environment;
		readonly base: number;
		readonly change: string;
		readonly update: DocumentUpdate;
		readonly author: string;
		/** Wall-clock time in milliseconds, set by the leader. */
		readonly at: number;
	}
	| {
		readonly kind: 'promote';
		/** Number of the trial version to copy to production. */
		readonly source: number;
		readonly base: number;
		readonly change: string;
		readonly author: string;
		readonly at: number;
	}
	/** Declares a document under a version number chosen by its author; the highest version is in force. */
	| {
		readonly kind: 'declare';
		readonly environment: Environment;
		readonly version: number;
		readonly document: EnvironmentDocument;
		/** Original text of the declaration, returned unchanged to readers. */
		readonly source: string;
		readonly author: string;
		readonly at: number;
	};

/** Result of a configuration command. */
export type ConfigurationResult
	= | {readonly kind: 'accepted'; readonly environment: Environment; readonly version: number}
		| {readonly kind: 'conflict'; readonly environment: Environment; readonly base: number; readonly current: number}
	/** The declared version is not higher than the current one, so nothing changed. */
		| {readonly kind: 'superseded'; readonly environment: Environment; readonly version: number; readonly current: number}
		| {readonly kind: 'unknownVersion'; readonly environment: Environment; readonly version: number};

/** An accepted version of a document. */
export type Version = {
	readonly version: number;
	readonly change: string;
	readonly author: string;
	readonly at: number;
	readonly document: EnvironmentDocument;
	/** Original text of the declaration, if the version was declared. */
	readonly source?: string;
};

type ChangeResult = {readonly change: string; readonly answer: ConfigurationResult};

/** A version whose document is encoded as an update of the previous version. */
type EncodedVersion = Omit<Version, 'document'> & {readonly update: DocumentUpdate};

/** Serializable snapshot of a register. */
export type RegisterSnapshot = {
	readonly trial: readonly EncodedVersion[];
	readonly production: readonly EncodedVersion[];
	readonly answered: readonly ChangeResult[];
};

/** Versioned register of environment documents. */
export type Register = {
	/** Applies a committed command. */
	apply(command: ConfigurationCommand): ConfigurationResult;
	/** Gets an equivalent command that carries the delta from the current document, if its base is the current version. */
	encodeAsDelta(command: ConfigurationCommand): ConfigurationCommand;
	/** Gets the update from a base version to the current one, or the complete document if the base is not stored; undefined before the first version. */
	getUpdate(environment: Environment, baseVersion: number): DocumentUpdate | undefined;
	/** Gets the current version of an environment. */
	getCurrent(environment: Environment): Maybe<Version>;
	/** Gets the number of the current version, or 0 before the first. */
	getCurrentNumber(environment: Environment): number;
	/** Gets the numbers of the stored versions whose text contains a replacement character, so that it may not be what their author sent. */
	getReplacedVersions(environment: Environment): readonly number[];
	/** Gets the stored versions, oldest first. */
	getHistory(environment: Environment): readonly Version[];
	takeSnapshot(): RegisterSnapshot;
	restore(snapshot: RegisterSnapshot): void;
};

/** Creates an empty register. */
export function createRegister(): Register {
	let versions: Record<Environment, Version[]> = {trial: [], production: []};
	let storedResults = new Map<string, ConfigurationResult>();

	function getCurrentNumber(environment: Environment): number {
		return versions[environment].at(-1)?.version ?? 0;
	}

	function recordResult(change: string, result: ConfigurationResult): ConfigurationResult {
		storedResults.set(change, result);
		if (storedResults.size > maximumStoredResults) {
			const [oldest] = storedResults.keys();
			storedResults.delete(oldest!);
		}

		return result;
	}

	function compareAndSet(environment: Environment, command: Exclude<ConfigurationCommand, {readonly kind: 'declare'}>, update: DocumentUpdate): ConfigurationResult {
		const current = getCurrentNumber(environment);
		const document = mergeDocumentUpdate(versions[environment].at(-1)?.document, update);
		if (command.base !== current || document.isErr || !hasExpectedDigest(document.value, update)) {
			return recordResult(command.change, {
				kind: 'conflict', environment, base: command.base, current,
			});
		}

		const {change, author, at} = command;
		const version = current + 1;
		versions[environment].push({
			version, change, author, at, document: document.value,
		});
		versions[environment] = versions[environment].slice(-maximumVersions);
		return recordResult(change, {kind: 'accepted', environment, version});
	}

	function declare(command: Extract<ConfigurationCommand, {readonly kind: 'declare'}>): ConfigurationResult {
		const {environment, version, document, source, author, at} = command;
		const current = versions[environment].at(-1)?.version ?? noVersion;
		if (version <= current) {
			return {
				kind: 'superseded', environment, version, current,
			};
		}

		versions[environment].push({
			version, change: `declared-${version}`, author, at, document, source,
		});
		versions[environment] = versions[environment].slice(-maximumDeclaredVersions);
		return {kind: 'accepted', environment, version};
	}

	function getUpdate(environment: Environment, baseVersion: number): DocumentUpdate | undefined {
		const current = versions[environment].at(-1);
		const base = versions[environment].find(version => version.version === baseVersion);
		if (current === undefined) {
			return undefined;
		}

		return base === undefined ? {kind: 'whole', document: current.document} : getDocumentUpdate(base.document, current.document);
	}

	return {
		apply(command) {
			if (command.kind === 'declare') {
				return declare(command);
			}

			const earlier = storedResults.get(command.change);
			if (earlier !== undefined) {
				return earlier;
			}

			switch (command.kind) {
				case 'apply': {
					return compareAndSet(command.environment, command, command.update);
				}

				case 'promote': {
					const source = versions.trial.find(version => version.version === command.source);
					return source === undefined
						? recordResult(command.change, {kind: 'unknownVersion', environment: 'trial', version: command.source})
						: compareAndSet('production', command, {kind: 'whole', document: source.document});
				}
			}
		},
		encodeAsDelta(command) {
			const current = command.kind === 'apply' ? versions[command.environment].at(-1) : undefined;
			return command.kind === 'apply' && command.update.kind === 'whole' && current?.version === command.base
				? {...command, update: getDocumentUpdate(current.document, command.update.document)}
				: command;
		},
		getUpdate,
		getCurrent: environment => Maybe.of(versions[environment].at(-1)),
		getCurrentNumber,
		getReplacedVersions: environment => versions[environment].filter(({document}) => hasReplacedText(document)).map(({version}) => version),
		getHistory: environment => versions[environment],
		takeSnapshot: () => ({
			trial: encodeVersions(versions.trial),
			production: encodeVersions(versions.production),
			answered: [...storedResults].map(([change, result]) => ({change, answer: result})),
		}),
		restore(snapshot) {
			versions = {trial: decodeVersions(snapshot.trial), production: decodeVersions(snapshot.production)};
			storedResults = new Map(snapshot.answered.map(({change, answer}) => [change, answer]));
		},
	};
}

/** Encodes each document as an update of the previous one, so that a snapshot does not repeat unchanged services. */
function encodeVersions(versions: readonly Version[]): readonly EncodedVersion[] {
	return versions.map(({document, ...rest}, index) => {
		const before = versions[index - 1]?.document;
		return {...rest, update: before === undefined ? {kind: 'whole', document} : getDocumentUpdate(before, document)};
	});
}

/**
 * Decodes the versions of a snapshot. Earlier releases accepted texts with half of a surrogate pair, which disks and links replace, and
 * computed the digests of deltas before that. Such a document is restored as the other hosts received it, with the replacement.
 */
function decodeVersions(encodedVersions: readonly EncodedVersion[]): Version[] {
	const versions: Version[] = [];
	for (const {update, ...rest} of encodedVersions) {
		const document = mergeDocumentUpdate(versions.at(-1)?.document, update);
		if (document.isErr) {
			throw new Error(`version ${rest.version} in the snapshot cannot be decoded: ${document.error}`);
		}

		if (!hasExpectedDigest(document.value, update) && !hasReplacedText(document.value)) {
			throw new Error(`version ${rest.version} in the snapshot cannot be decoded: the digest of the result does not match`);
		}

		versions.push({...rest, document: document.value});
	}

	return versions;
}

/** Checks whether a document contains the character that stands in place of text that could not be stored. */
function hasReplacedText(document: EnvironmentDocument): boolean {
	return JSON.stringify(document).includes(replacementCharacter);
}
