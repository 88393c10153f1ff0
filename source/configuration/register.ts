/**
 * The versioned register of environment documents: a deterministic state machine
 * that runs inside the replicated log. A change is accepted only on the current
 * version (compare-and-set); a change id seen before gets its first answer again.
 */
import {Maybe} from 'true-myth';
import {type EnvironmentDocument} from './document.js';
import {applyDocumentUpdate, getDocumentUpdate, type DocumentUpdate} from './update.js';

/** Name of an environment. */
export type Environment = 'trial' | 'production';

/** Change ids that are remembered, newest kept. */
const rememberedChanges = 20_000;

/** Versions whose documents are kept per environment. */
const keptVersions = 50;

/** Declared versions that are kept; older ones are in their author's own version control. */
const keptDeclarations = 8;

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
		/** Trial version that is copied. */
		readonly source: number;
		readonly base: number;
		readonly change: string;
		readonly author: string;
		readonly at: number;
	}
	/** Declares a document under a version of its author's own; the highest version is in force. */
	| {
		readonly kind: 'declare';
		readonly environment: Environment;
		readonly version: number;
		readonly document: EnvironmentDocument;
		/** The declaration as its author wrote it, to be read back unchanged. */
		readonly source: string;
		readonly author: string;
		readonly at: number;
	};

/** Answer to a configuration command. */
export type ConfigurationAnswer
	= | {readonly kind: 'accepted'; readonly environment: Environment; readonly version: number}
		| {readonly kind: 'conflict'; readonly environment: Environment; readonly base: number; readonly current: number}
	/** A declaration whose version is not higher than the current one; it changed nothing. */
		| {readonly kind: 'superseded'; readonly environment: Environment; readonly version: number; readonly current: number}
		| {readonly kind: 'unknownVersion'; readonly environment: Environment; readonly version: number};

/** An accepted version. */
export type Version = {
	readonly version: number;
	readonly change: string;
	readonly author: string;
	readonly at: number;
	readonly document: EnvironmentDocument;
	/** Text of a declaration, as its author wrote it. */
	readonly source?: string;
};

type Answered = {readonly change: string; readonly answer: ConfigurationAnswer};

/** A version whose document is told apart from the one before it. */
type ImageVersion = Omit<Version, 'document'> & {readonly update: DocumentUpdate};

/** Contents of a register, for snapshots. */
export type RegisterImage = {
	readonly trial: readonly ImageVersion[];
	readonly production: readonly ImageVersion[];
	readonly answered: readonly Answered[];
};

/** The versioned register. */
export type Register = {
	/** Applies a committed command. */
	apply(command: ConfigurationCommand): ConfigurationAnswer;
	/** Gets a command with the same effect whose document is told apart from the current one, where that is its base. */
	shorten(command: ConfigurationCommand): ConfigurationCommand;
	/** Gets what leads an entry from the version that it has to the current one; undefined before the first version. */
	getUpdate(environment: Environment, known: number): DocumentUpdate | undefined;
	/** Gets the newest version of an environment. */
	getCurrent(environment: Environment): Maybe<Version>;
	/** Gets the number of the newest version, 0 before the first. */
	getCurrentNumber(environment: Environment): number;
	/** Gets the kept versions, oldest first. */
	getHistory(environment: Environment): readonly Version[];
	getImage(): RegisterImage;
	restore(image: RegisterImage): void;
};

/** Creates an empty register. */
export function createRegister(): Register {
	let versions: Record<Environment, Version[]> = {trial: [], production: []};
	let answered = new Map<string, ConfigurationAnswer>();

	function getCurrentNumber(environment: Environment): number {
		return versions[environment].at(-1)?.version ?? 0;
	}

	function remember(change: string, answer: ConfigurationAnswer): ConfigurationAnswer {
		answered.set(change, answer);
		if (answered.size > rememberedChanges) {
			const [oldest] = answered.keys();
			answered.delete(oldest!);
		}

		return answer;
	}

	function accept(environment: Environment, command: Exclude<ConfigurationCommand, {readonly kind: 'declare'}>, update: DocumentUpdate): ConfigurationAnswer {
		const current = getCurrentNumber(environment);
		const document = applyDocumentUpdate(versions[environment].at(-1)?.document, update);
		if (command.base !== current || document.isErr) {
			return remember(command.change, {
				kind: 'conflict', environment, base: command.base, current,
			});
		}

		const {change, author, at} = command;
		const version = current + 1;
		versions[environment].push({
			version, change, author, at, document: document.value,
		});
		versions[environment] = versions[environment].slice(-keptVersions);
		return remember(change, {kind: 'accepted', environment, version});
	}

	function declare(command: Extract<ConfigurationCommand, {readonly kind: 'declare'}>): ConfigurationAnswer {
		const {environment, version, document, source, author, at} = command;
		const current = getCurrentNumber(environment);
		if (version <= current) {
			return {
				kind: 'superseded', environment, version, current,
			};
		}

		versions[environment].push({
			version, change: `declared-${version}`, author, at, document, source,
		});
		versions[environment] = versions[environment].slice(-keptDeclarations);
		return {kind: 'accepted', environment, version};
	}

	function getUpdate(environment: Environment, known: number): DocumentUpdate | undefined {
		const current = versions[environment].at(-1);
		const base = versions[environment].find(version => version.version === known);
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

			const earlier = answered.get(command.change);
			if (earlier !== undefined) {
				return earlier;
			}

			switch (command.kind) {
				case 'apply': {
					return accept(command.environment, command, command.update);
				}

				case 'promote': {
					const source = versions.trial.find(version => version.version === command.source);
					return source === undefined
						? remember(command.change, {kind: 'unknownVersion', environment: 'trial', version: command.source})
						: accept('production', command, {kind: 'whole', document: source.document});
				}
			}
		},
		shorten(command) {
			const current = command.kind === 'apply' ? versions[command.environment].at(-1) : undefined;
			return command.kind === 'apply' && command.update.kind === 'whole' && current?.version === command.base
				? {...command, update: getDocumentUpdate(current.document, command.update.document)}
				: command;
		},
		getUpdate,
		getCurrent: environment => Maybe.of(versions[environment].at(-1)),
		getCurrentNumber,
		getHistory: environment => versions[environment],
		getImage: () => ({
			trial: toImage(versions.trial),
			production: toImage(versions.production),
			answered: [...answered].map(([change, answer]) => ({change, answer})),
		}),
		restore(image) {
			versions = {trial: fromImage(image.trial), production: fromImage(image.production)};
			answered = new Map(image.answered.map(({change, answer}) => [change, answer]));
		},
	};
}

/** Tells each document apart from the one before it, so that an image holds what changed and not every version whole. */
function toImage(versions: readonly Version[]): readonly ImageVersion[] {
	return versions.map(({document, ...rest}, index) => {
		const before = versions[index - 1]?.document;
		return {...rest, update: before === undefined ? {kind: 'whole', document} : getDocumentUpdate(before, document)};
	});
}

function fromImage(image: readonly ImageVersion[]): Version[] {
	const versions: Version[] = [];
	for (const {update, ...rest} of image) {
		const document = applyDocumentUpdate(versions.at(-1)?.document, update);
		if (document.isErr) {
			throw new Error(`the snapshot's version ${rest.version} is damaged: ${document.error}`);
		}

		versions.push({...rest, document: document.value});
	}

	return versions;
}
