/** The list of servers that a leader sends to entries with its grants. */
import {Maybe} from 'true-myth';
import {type RegisteredServer} from '../announcement/index.js';
import {type Grant, type Renewal, type ServerView} from '../lease/index.js';
import {type ServerPresence} from './server-presence.js';
import {createServerViews} from './server-views.js';
import {type StateMachine} from './state-machine.js';

/** List of the servers. */
export type ServerList = {
	/** Updates a server after a change. */
	update(server: RegisteredServer, now: number): void;
	/** Updates a server if it has become absent or is no longer absent. */
	updateAbsence(id: number, now: number): void;
	/**
	 * Gets the servers that an entry needs. An entry that knows the servers from an earlier leader needs only those that changed
	 * since, so a change of the leader does not cost a whole list for each entry.
	 */
	getFor(renewal: Renewal): Pick<Grant, 'isWhole' | 'listed' | 'logIndex' | 'revision' | 'servers'>;
};

/** Options of `createServerList`. */
export type ServerListOptions = {
	/** Consensus term of the leader. */
	readonly epoch: number;
	readonly machine: StateMachine;
	readonly presence: ServerPresence;
	/** Gets the index of the replicated log up to which the state machine has applied commands. */
	getAppliedIndex(): number;
};

/**
 * Creates a list without servers.
 * @param options - Epoch, state machine and presence of the servers.
 */
export function createServerList(options: ServerListOptions): ServerList {
	const {epoch, machine, presence, getAppliedIndex} = options;
	const views = createServerViews();

	function update(server: RegisteredServer, now: number): void {
		views.set({
			id: server.id,
			announcement: server.announcement,
			state: server.state,
			isAbsent: presence.isAbsent(server.id, now),
			isRemoved: machine.registry.getById(server.id).isNothing,
		});
	}

	/** Gets the index of the replicated log at which a server last changed, or infinity if it is not known. */
	function getChangeIndex(id: number): number {
		return machine.registry.getById(id).andThen(({changedAt}) => Maybe.of(changedAt)).unwrapOr(Number.POSITIVE_INFINITY);
	}

	/** Gets the views that changed since a renewal, and those of servers that the entry keeps as absent although they are present. */
	function getChanged({revision, earlier}: Renewal): readonly ServerView[] {
		const changed = views.getChangedSince(revision);
		const known = new Set(changed.map(({id}) => id));
		const kept = (earlier?.absent ?? []).filter(id => !known.has(id)).map(id => views.get(id)).filter(view => view !== undefined);
		return [...changed, ...kept.filter(view => !view.isAbsent)];
	}

	return {
		update,
		updateAbsence(id, now) {
			const server = machine.registry.getById(id);
			const view = views.get(id);
			if (server.isJust && view !== undefined && view.isAbsent !== presence.isAbsent(id, now)) {
				update(server.value, now);
			}
		},
		getFor(renewal) {
			const logIndex = getAppliedIndex();
			const revision = views.getRevision();
			if (renewal.epoch === epoch) {
				return {
					revision, isWhole: false, logIndex, servers: getChanged(renewal),
				};
			}

			const all = views.getAll();
			const knownIndex = renewal.logIndex ?? 0;
			if (knownIndex === 0) {
				return {
					revision, isWhole: true, logIndex, servers: all,
				};
			}

			const changed = all.filter(({id, isAbsent}) => isAbsent || getChangeIndex(id) > knownIndex);
			return {
				revision, isWhole: false, logIndex, servers: changed, listed: all.map(({id}) => id),
			};
		},
	};
}
