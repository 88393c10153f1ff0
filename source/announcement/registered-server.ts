/** Servers in the registry. */
import {type Announcement} from './announcement.js';
import {type ServerKey} from './server-key.js';

/** State of a server as committed by the control hosts. */
export type ServerState = 'cold' | 'warm' | 'leaving';

/** A server in the registry. */
export type RegisteredServer = {
	/** Id that messages use for this boot of the server; ids are never reused. */
	readonly id: number;
	readonly key: ServerKey;
	readonly announcement: Announcement;
	readonly state: ServerState;
	/** Wall-clock time of the last transition in milliseconds. */
	readonly since: number;
	/** Index of the replicated log at which the server last changed; missing if it is not known. */
	readonly changedAt?: number;
};
