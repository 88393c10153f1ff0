/** Digests of callers' keys. Documents hold digests only, so that neither the log of the control hosts nor a dump of an entry reveals a key. */
import {createHash} from 'node:crypto';

/**
 * Gets the SHA-256 digest of a key in hexadecimal.
 * @param key - Key as a caller sends it.
 */
export function getKeyDigest(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}
