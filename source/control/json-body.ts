/**
 * Decodes JSON bodies of calls. A text that is not well-formed Unicode is refused here, once for all fields: the bytes of a body, records
 * on disks and messages on links are UTF-8, which has no form for half of a surrogate pair, so such a text would be stored as another one
 * than the one that was acknowledged.
 */
import {isUtf8, type Buffer} from 'node:buffer';
import {Result} from 'true-myth';

/** Text and value of a JSON body. */
export type JsonBody = {readonly text: string; readonly value: unknown};

/** Maximum length of the path of a field in a reason, since documents may be nested deeply. */
const maximumPathLength = 500;

/** Escape sequence of a surrogate. A text that was decoded from UTF-8 contains surrogates without a partner only by such escapes. */
const surrogateEscape = /\\u[dD][89a-fA-F]/v;

/**
 * Decodes a body, or returns the reason why it cannot be read in full; the reason names the field, if there is one.
 * @param bytes - Body as it was received.
 */
export function decodeJsonBody(bytes: Buffer): Result<JsonBody, string> {
	if (!isUtf8(bytes)) {
		return Result.err('the body is not valid UTF-8');
	}

	const text = bytes.toString('utf8');
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return Result.err('the body is not valid JSON');
	}

	const fieldPath = surrogateEscape.test(text) ? findMalformedText(value) : undefined;
	return fieldPath === undefined ? Result.ok({text, value}) : Result.err(`${fieldPath.slice(0, maximumPathLength)}: contains half of a surrogate pair`);
}

type Field = {readonly path: string; readonly value: unknown};

/** Finds the path of a text, or of a field whose name, is not well-formed. Documents may be nested deeply, so the search keeps its own stack. */
function findMalformedText(root: unknown): string | undefined {
	const fields: Field[] = [{path: '', value: root}];
	for (let field = fields.pop(); field !== undefined; field = fields.pop()) {
		const {path, value} = field;
		if (typeof value === 'string' && !value.isWellFormed()) {
			return path === '' ? 'body' : path;
		}

		for (const [name, child] of typeof value === 'object' && value !== null ? Object.entries(value) : []) {
			if (!name.isWellFormed()) {
				return `${path === '' ? 'body' : path}, name of a field`;
			}

			fields.push({path: path === '' ? name : `${path}.${name}`, value: child});
		}
	}

	return undefined;
}
