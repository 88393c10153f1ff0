/** Error of a request whose body violates the protocol; the entry emits it on the request. */
export class MalformedBodyError extends Error {
	override name = 'MalformedBodyError';
}
