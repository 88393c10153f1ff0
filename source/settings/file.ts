/**
 * Reads TOML files against a schema and reports every fault with the file, the
 * place and the mend.
 */
import {Buffer, isUtf8} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {parse, TomlError} from 'smol-toml';
import {Result} from 'true-myth';
import {type z} from 'zod';

/** One fault in an input file, as one line of text. */
export type Fault = string;

/**
 * Reads a TOML file and checks it.
 * @param file - Path of the file.
 * @param schema - Schema that the contents must meet.
 */
export function readTomlFile<Schema extends z.ZodType>(file: string, schema: Schema): Result<z.infer<Schema>, readonly Fault[]> {
	const bytes = readBytes(file);
	return bytes.andThen(content => parseToml(file, content, schema));
}

/**
 * Reads a text file that holds a secret, without its final line break.
 * @param file - Path of the file.
 */
export function readSecretFile(file: string): Result<string, readonly Fault[]> {
	return readBytes(file).andThen(bytes => {
		const secret = bytes.toString('utf8').trim();
		return secret.length < 16
			? Result.err([`${file}: the key has ${secret.length} characters; write at least 16`])
			: Result.ok(secret);
	});
}

/**
 * Checks TOML text.
 * @param file - Name of the file, for the faults.
 * @param bytes - Contents of the file.
 * @param schema - Schema that the contents must meet.
 */
export function parseToml<Schema extends z.ZodType>(file: string, bytes: Uint8Array, schema: Schema): Result<z.infer<Schema>, readonly Fault[]> {
	if (!isUtf8(bytes)) {
		return Result.err([`${file}: not UTF-8; save the file as UTF-8`]);
	}

	let value: unknown;
	try {
		value = parse(Buffer.from(bytes).toString('utf8'));
	} catch (error) {
		return Result.err([getTomlFault(file, error)]);
	}

	return checkValue(file, value, schema);
}

/**
 * Checks a value against a schema.
 * @param source - Name of the input, for the faults.
 * @param value - Value to check.
 * @param schema - Schema that the value must meet.
 */
export function checkValue<Schema extends z.ZodType>(source: string, value: unknown, schema: Schema): Result<z.infer<Schema>, readonly Fault[]> {
	const outcome = schema.safeParse(value, {reportInput: true});
	return outcome.success
		? Result.ok(outcome.data)
		: Result.err(outcome.error.issues.flatMap(issue => getSchemaFaults(source, issue)));
}

function readBytes(file: string): Result<Buffer, readonly Fault[]> {
	try {
		return Result.ok(readFileSync(file));
	} catch (error) {
		const {code} = error as NodeJS.ErrnoException;
		return Result.err([code === 'ENOENT' ? `${file}: no such file; check the path` : `${file}: cannot be read (${code ?? 'unknown error'}); check its permissions`]);
	}
}

function getTomlFault(file: string, error: unknown): Fault {
	if (error instanceof TomlError) {
		const reason = error.message.split('\n')[0]!.replace(/^Invalid TOML document: /v, '');
		return `${file}:${error.line}:${error.column}: ${reason}; mend the TOML`;
	}

	return `${file}: not valid TOML; mend the TOML`;
}

function getSchemaFaults(source: string, issue: z.core.$ZodIssue): readonly Fault[] {
	const path = issue.path.map(String).join('.');
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => `${source}: ${path === '' ? key : `${path}.${key}`}: unknown key; remove it or mend its name`);
	}

	const place = path === '' ? 'the document' : path;
	if (issue.code === 'invalid_type' && issue.input === undefined) {
		return [`${source}: ${place}: missing; add it as ${issue.expected}`];
	}

	const shown = issue.input === undefined || typeof issue.input === 'object' ? '' : ` (found ${JSON.stringify(issue.input)})`;
	return [`${source}: ${place}: ${issue.message}${shown}`];
}
