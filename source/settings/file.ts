/**
 * Reads TOML files and validates them against a schema. Every validation message states the file, the
 * location and how to correct the input.
 */
import {Buffer, isUtf8} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {parse, TomlError} from 'smol-toml';
import {Result} from 'true-myth';
import {type z} from 'zod';

/** One line of text that describes an error in an input file. */
export type ValidationMessage = string;

/**
 * Reads and validates a TOML file.
 * @param file - Path of the file.
 * @param schema - Schema of the contents.
 */
export function readTomlFile<Schema extends z.ZodType>(file: string, schema: Schema): Result<z.infer<Schema>, readonly ValidationMessage[]> {
	const bytes = readBytes(file);
	return bytes.andThen(content => parseToml(file, content, schema));
}

/**
 * Reads a secret from a text file, without leading or trailing white space.
 * @param file - Path of the file.
 */
export function readSecretFile(file: string): Result<string, readonly ValidationMessage[]> {
	return readBytes(file).andThen(bytes => {
		const secret = bytes.toString('utf8').trim();
		return secret.length < 16
			? Result.err([`${file}: the key has ${secret.length} characters; use at least 16`])
			: Result.ok(secret);
	});
}

/**
 * Parses and validates TOML text.
 * @param file - Name of the file, for the messages.
 * @param bytes - Contents of the file.
 * @param schema - Schema of the contents.
 */
export function parseToml<Schema extends z.ZodType>(file: string, bytes: Uint8Array, schema: Schema): Result<z.infer<Schema>, readonly ValidationMessage[]> {
	if (!isUtf8(bytes)) {
		return Result.err([`${file}: not UTF-8; save the file as UTF-8`]);
	}

	let value: unknown;
	try {
		value = parse(Buffer.from(bytes).toString('utf8'));
	} catch (error) {
		return Result.err([formatTomlError(file, error)]);
	}

	return checkValue(file, value, schema);
}

/**
 * Validates a value against a schema.
 * @param source - Name of the input, for the messages.
 * @param value - Value to validate.
 * @param schema - Schema of the value.
 */
export function checkValue<Schema extends z.ZodType>(source: string, value: unknown, schema: Schema): Result<z.infer<Schema>, readonly ValidationMessage[]> {
	const outcome = schema.safeParse(value, {reportInput: true});
	return outcome.success
		? Result.ok(outcome.data)
		: Result.err(outcome.error.issues.flatMap(issue => formatSchemaIssue(source, issue)));
}

function readBytes(file: string): Result<Buffer, readonly ValidationMessage[]> {
	try {
		return Result.ok(readFileSync(file));
	} catch (error) {
		const {code} = error as NodeJS.ErrnoException;
		return Result.err([code === 'ENOENT' ? `${file}: no such file; check the path` : `${file}: cannot be read (${code ?? 'unknown error'}); check its permissions`]);
	}
}

function formatTomlError(file: string, error: unknown): ValidationMessage {
	if (error instanceof TomlError) {
		const reason = error.message.split('\n')[0]!.replace(/^Invalid TOML document: /v, '');
		return `${file}:${error.line}:${error.column}: ${reason}; correct the TOML`;
	}

	return `${file}: not valid TOML; correct the TOML`;
}

function formatSchemaIssue(source: string, issue: z.core.$ZodIssue): readonly ValidationMessage[] {
	const path = issue.path.map(String).join('.');
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => `${source}: ${path === '' ? key : `${path}.${key}`}: unknown key; remove it or correct its name`);
	}

	const location = path === '' ? 'the document' : path;
	if (issue.code === 'invalid_type' && issue.input === undefined) {
		return [`${source}: ${location}: missing; add it as ${issue.expected}`];
	}

	const foundValue = issue.input === undefined || typeof issue.input === 'object' ? '' : ` (found ${JSON.stringify(issue.input)})`;
	return [`${source}: ${location}: ${issue.message}${foundValue}`];
}
