/** Key of a server, unique across services. */
import {type Announcement} from './announcement.js';

/** Key of a server: `service/name`. */
export type ServerKey = string;

/**
 * Gets the key of a server.
 * @param announcement - Announcement of the server.
 */
export function getServerKey(announcement: Announcement): ServerKey {
	return `${announcement.service}/${announcement.name}`;
}
