/** Counts the bytes of a streamed body that is not paced, since the link of the entry carries them before large responses. */
import {type ServerResponse} from 'node:http';
import {type Link} from '../../link/index.js';
import {type BodyTarget} from './body-target.js';

/**
 * Creates the receiver of a body whose bytes are counted.
 * @param response - Response to the caller.
 * @param link - Link of the entry, if its rate is known.
 */
export function countBody(response: ServerResponse, link: Link | undefined): BodyTarget {
	if (link === undefined) {
		return response;
	}

	return {
		get destroyed() {
			return response.destroyed;
		},
		write(part) {
			link.recordSmall(part.length);
			return response.write(part);
		},
		end: () => response.end(),
		on: (event, listener) => response.on(event, listener),
	};
}
