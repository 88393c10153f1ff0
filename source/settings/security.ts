/**
 * Reads the keys and certificates named in the settings, and rejects settings that listen on an address
 * other than loopback without keys.
 */
import {readFileSync} from 'node:fs';
import {Result} from 'true-myth';
import {type LinkCertificates, type LinkIdentity} from '../wire/index.js';
import {readSecretFile, type ValidationMessage} from './file.js';
import {type Address, type SecuritySettings} from './settings.js';

/** Default shared key of links between processes, used where no key file is set. */
const loopbackKey = 'guavadeck loopback key';

/** Keys and certificates of a process. */
export type Security = {
	readonly link: LinkIdentity;
	/** Bearer key of the operators' API, or undefined if none is set. */
	readonly operatorKey: string | undefined;
};

/** Options of `resolveSecurity`. */
export type SecurityOptions = {
	readonly file: string;
	readonly name: string;
	readonly security: SecuritySettings;
	/** Addresses on which the process accepts links or operators' API calls. */
	readonly listenAddresses: readonly Address[];
};

/**
 * Gets the keys and certificates of a process.
 * @param options - Settings, and the addresses that require keys unless they are loopback addresses.
 */
export function resolveSecurity(options: SecurityOptions): Result<Security, readonly ValidationMessage[]> {
	const {file, name, security, listenAddresses: addresses} = options;
	const exposedAddress = addresses.find(address => !isLoopback(address.host));
	if (security.trustNetwork !== true && exposedAddress !== undefined && (security.sharedKeyFile === undefined || security.operatorKeyFile === undefined)) {
		return Result.err([`${file}: security: ${exposedAddress.host} is not a loopback address; set security.sharedKeyFile and security.operatorKeyFile`]);
	}

	const sharedKey = readOptionalSecret(security.sharedKeyFile);
	const operatorKey = readOptionalSecret(security.operatorKeyFile);
	const certificates = readCertificates(file, security);
	return sharedKey.andThen(sharedSecret => operatorKey.andThen(operatorSecret => certificates.map(linkCertificates => ({
		link: {name, sharedKey: sharedSecret ?? loopbackKey, certificates: linkCertificates},
		operatorKey: operatorSecret,
	}))));
}

/**
 * Checks whether an IP address is a loopback address.
 * @param host - IP address.
 */
export function isLoopback(host: string): boolean {
	return host === '::1' || host.startsWith('127.');
}

function readOptionalSecret(file: string | undefined): Result<string | undefined, readonly ValidationMessage[]> {
	return file === undefined ? Result.ok(undefined) : readSecretFile(file);
}

function readCertificates(file: string, security: SecuritySettings): Result<LinkCertificates | undefined, readonly ValidationMessage[]> {
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
