/**
 * Resolves the keys and certificates that settings name, and refuses to listen
 * beyond loopback without them.
 */
import {readFileSync} from 'node:fs';
import {Result} from 'true-myth';
import {type LinkCertificates, type LinkIdentity} from '../wire/index.js';
import {readSecretFile, type Fault} from './file.js';
import {type Address, type SecuritySettings} from './settings.js';

/** Key of links between processes that only listen on loopback. */
const loopbackKey = 'guavadeck loopback key';

/** Keys in force in a process. */
export type Security = {
	readonly link: LinkIdentity;
	/** Bearer key of the operators' API, or undefined where only loopback is served. */
	readonly operatorKey: string | undefined;
};

/** Options of `resolveSecurity`. */
export type SecurityOptions = {
	readonly file: string;
	readonly name: string;
	readonly security: SecuritySettings;
	/** Addresses on which the process takes links or operators' calls. */
	readonly listening: readonly Address[];
};

/**
 * Gets the keys of a process.
 * @param options - Settings and the addresses that must not be open without keys.
 */
export function resolveSecurity(options: SecurityOptions): Result<Security, readonly Fault[]> {
	const {file, name, security, listening} = options;
	const open = listening.find(address => !isLoopback(address.host));
	if (security.trustNetwork !== true && open !== undefined && (security.sharedKeyFile === undefined || security.operatorKeyFile === undefined)) {
		return Result.err([`${file}: security: ${open.host} is not a loopback address; set security.sharedKeyFile and security.operatorKeyFile`]);
	}

	const sharedKey = readOptionalSecret(security.sharedKeyFile);
	const operatorKey = readOptionalSecret(security.operatorKeyFile);
	const certificates = readCertificates(file, security);
	return sharedKey.andThen(shared => operatorKey.andThen(operator => certificates.map(pair => ({
		link: {name, sharedKey: shared ?? loopbackKey, certificates: pair},
		operatorKey: operator,
	}))));
}

/**
 * Checks whether an IP number is on the loopback interface.
 * @param host - IP number.
 */
export function isLoopback(host: string): boolean {
	return host === '::1' || host.startsWith('127.');
}

function readOptionalSecret(file: string | undefined): Result<string | undefined, readonly Fault[]> {
	return file === undefined ? Result.ok(undefined) : readSecretFile(file);
}

function readCertificates(file: string, security: SecuritySettings): Result<LinkCertificates | undefined, readonly Fault[]> {
	const files = [security.certificateFile, security.certificateKeyFile, security.authorityFile];
	if (files.every(path => path === undefined)) {
		return Result.ok(undefined);
	}

	if (files.includes(undefined)) {
		return Result.err([`${file}: security: set certificateFile, certificateKeyFile and authorityFile together`]);
	}

	try {
		const [certificate, key, authority] = files.map(path => readFileSync(path!, 'utf8'));
		return Result.ok({certificate: certificate!, key: key!, authority: authority!});
	} catch (error) {
		return Result.err([`${file}: security: ${(error as Error).message}`]);
	}
}
