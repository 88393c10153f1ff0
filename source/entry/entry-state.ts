/** The state that the parts of an entry share: what is in force in its environment, and what the entry does at present. */
import {type EnvironmentDocument} from '../configuration/index.js';
import {type WorkspaceIndex} from '../workspace/index.js';
import {createRouter, type Router} from './routing/index.js';

/** Number of entries that is assumed until the first grant arrives. */
const assumedEntryCount = 100;

/** State that the parts of an entry share. */
export type EntryState = {
	/** Document in force, or undefined before the first grant. */
	document: EnvironmentDocument | undefined;
	/** Router of the document in force. */
	router: Router;
	/** Workspaces of the document in force, or undefined if it has none. */
	workspaces: WorkspaceIndex | undefined;
	/** Names of the workspaces that use more than their share of the capacity. */
	aboveShare: ReadonlySet<string>;
	/** Number of entries in the environment. */
	entryCount: number;
	/** Number of callers' requests in flight. */
	inFlight: number;
	/** Whether the entry is stopping. */
	isDraining: boolean;
};

/** Creates the state of an entry without a document. */
export function createEntryState(): EntryState {
	return {
		document: undefined, router: createRouter([]), workspaces: undefined, aboveShare: new Set(), entryCount: assumedEntryCount, inFlight: 0, isDraining: false,
	};
}
