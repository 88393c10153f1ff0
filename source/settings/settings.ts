/**
 * Settings of the two kinds of process. A process learns its addresses, its
 * availability zone and the control hosts from here, and nothing else.
 */
import * as z from 'zod';

const port = z.number().int().min(0).max(65_535);

/** Turns an address that is written as `host:port` into its parts. */
function splitAddress(value: unknown): unknown {
	if (typeof value !== 'string') {
		return value;
	}

	const colon = value.lastIndexOf(':');
	return {host: value.slice(0, colon), port: Number(value.slice(colon + 1))};
}

const address = z.preprocess(splitAddress, z.strictObject({
	host: z.union([z.ipv4(), z.ipv6()], 'use an IP number'),
	port,
}).readonly());

const controlHost = z.strictObject({
	name: z.string().min(1).max(63),
	host: z.union([z.ipv4(), z.ipv6()], 'use an IP number'),
	port: port.min(1),
}).readonly();

const security = z.strictObject({
	sharedKeyFile: z.string().min(1).optional(),
	operatorKeyFile: z.string().min(1).optional(),
	certificateFile: z.string().min(1).optional(),
	certificateKeyFile: z.string().min(1).optional(),
	authorityFile: z.string().min(1).optional(),
	/** Whether everybody who reaches the process is trusted, because the network is closed. */
	trustNetwork: z.boolean().optional(),
}).readonly();

const common = {
	name: z.string().regex(/^[a-z\d][a-z\d\-]{0,62}$/v, 'use 1 to 63 lower-case letters, digits and hyphens'),
	zone: z.string().min(1).max(63),
	control: z.array(controlHost).readonly().default([]),
	/** Addresses for links of a few control hosts, from which the others are learned, in place of `control`. */
	seeds: z.array(address).readonly().default([]),
	/** Port for links on every control host, where seeds name another port. */
	seedPort: port.min(1).optional(),
	security: security.prefault({}),
	/** Whether service levels are counted at entries and kept at control hosts. */
	serviceLevels: z.boolean().default(true),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
};

const missingControlHosts = {path: ['control'], message: 'name at least one control host, or seeds'};

function namesControlHosts(settings: {readonly control: readonly unknown[]; readonly seeds: readonly unknown[]}): boolean {
	return settings.control.length > 0 || settings.seeds.length > 0;
}

const lease = z.strictObject({
	termMilliseconds: z.number().int().min(200).max(60_000).default(3000),
	renewMilliseconds: z.number().int().min(20).max(10_000).default(500),
}).readonly();

const attemptBudget = z.strictObject({
	/** Extra attempts for each request. */
	ratio: z.number().min(0).max(1),
	/** Further extra attempts in any ten seconds or so, shared by all entries. */
	slack: z.number().min(0),
}).readonly();

/** Settings of an entry process. */
export const entrySettingsSchema = z.strictObject({
	...common,
	environment: z.enum(['trial', 'production']).default('production'),
	/** What becomes of new work while no control host can be reached: refused, or served by what is known. */
	withoutControl: z.enum(['stop', 'serve']).default('stop'),
	/** Extra attempts that all entries together may make for a service. */
	attemptBudget: attemptBudget.optional(),
	/** Questions to one server in a second, from all entries together, for services whose servers are asked before each request. */
	questionsPerServerAndSecond: z.number().min(0).default(60),
	callers: address,
	admin: address,
	peers: address.optional(),
	exchangeMilliseconds: z.number().int().min(5).max(10_000).default(150),
	graceMilliseconds: z.number().int().min(0).max(600_000).default(1000),
	maximumHeaderBytes: z.number().int().min(1024).max(1_048_576).default(16_384),
	maximumBodyBytes: z.number().int().min(1024).max(1_073_741_824).default(1_048_576),
	maximumHeldAnswerBytes: z.number().int().min(0).max(16_777_216).default(262_144),
	lease: lease.prefault({}),
}).readonly().refine(namesControlHosts, missingControlHosts);

const election = z.strictObject({
	timeoutMilliseconds: z.number().int().min(50).max(10_000).default(300),
	heartbeatMilliseconds: z.number().int().min(10).max(2000).default(60),
}).readonly();

const ledger = z.strictObject({
	retentionHours: z.number().min(0.001).max(8760).default(168),
	maximumClaims: z.number().int().min(1).max(10_000_000).default(200_000),
	maximumAnswerBytes: z.number().int().min(0).max(1_048_576).default(16_384),
	maximumStoredBytes: z.number().int().min(0).max(4_294_967_296).default(268_435_456),
}).readonly();

/** Settings of a control process. */
export const controlSettingsSchema = z.strictObject({
	...common,
	dataFolder: z.string().min(1),
	/** Whether this is the first start of the whole system, which the seeds found. */
	founding: z.boolean().default(false),
	/** Control hosts that may be lost at the same time; with seeds, it decides how many vote. */
	toleratedLosses: z.number().int().min(0).max(10).default(2),
	links: address,
	api: address,
	election: election.prefault({}),
	ledger: ledger.prefault({}),
	lease: lease.prefault({}),
	/** Longest time for which a call waits for the host that leads. */
	forwardMilliseconds: z.number().int().min(50).max(60_000).default(5000),
	stopPatienceMilliseconds: z.number().int().min(0).max(600_000).default(10_000),
	snapshotEvery: z.number().int().min(10).max(10_000_000).default(10_000),
	snapshotBytes: z.number().int().min(65_536).max(1_073_741_824).default(16_777_216),
}).readonly().refine(namesControlHosts, missingControlHosts);

/** Settings of an entry process. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/** Settings of a control process. */
export type ControlSettings = z.infer<typeof controlSettingsSchema>;

/** Keys and certificates of a process. */
export type SecuritySettings = z.infer<typeof security>;

/** An IP number with a port. */
export type Address = z.infer<typeof address>;

/**
 * Gets the addresses for links of the control hosts that are seeds.
 * @param settings - Settings of a process.
 */
export function getSeeds(settings: {readonly seeds: readonly Address[]; readonly seedPort?: number}): readonly Address[] {
	return settings.seeds.map(({host, port}) => ({host, port: settings.seedPort ?? port}));
}
