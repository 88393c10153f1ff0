/**
 * Settings of entry and control processes: their addresses, their availability zone, the control hosts
 * and local limits. Services are defined in the environment document instead.
 */
import * as z from 'zod';

const port = z.number().int().min(0).max(65_535);

/** Splits an address of the form `host:port`; other values are returned unchanged. */
function parseAddress(value: unknown): unknown {
	if (typeof value !== 'string') {
		return value;
	}

	const colon = value.lastIndexOf(':');
	return {host: value.slice(0, colon), port: Number(value.slice(colon + 1))};
}

const address = z.preprocess(parseAddress, z.strictObject({
	host: z.union([z.ipv4(), z.ipv6()], 'use an IP address'),
	port,
}).readonly());

const controlHost = z.strictObject({
	name: z.string().min(1).max(63),
	host: z.union([z.ipv4(), z.ipv6()], 'use an IP address'),
	port: port.min(1),
}).readonly();

const security = z.strictObject({
	sharedKeyFile: z.string().min(1).optional(),
	operatorKeyFile: z.string().min(1).optional(),
	certificateFile: z.string().min(1).optional(),
	certificateKeyFile: z.string().min(1).optional(),
	authorityFile: z.string().min(1).optional(),
	/** Whether every peer that can connect is trusted because the network is closed; keys are then optional. */
	trustNetwork: z.boolean().optional(),
}).readonly();

const commonSettings = {
	name: z.string().regex(/^[a-z\d][a-z\d\-]{0,62}$/v, 'use 1 to 63 lower-case letters, digits and hyphens'),
	zone: z.string().min(1).max(63),
	control: z.array(controlHost).readonly().default([]),
	/** Link addresses of some control hosts, used instead of `control` to discover the others. */
	seeds: z.array(address).readonly().default([]),
	/** Link port of every control host, if it differs from the port in the seeds. */
	seedPort: port.min(1).optional(),
	security: security.prefault({}),
	/** Whether entries report service levels and control hosts summarize them. */
	serviceLevels: z.boolean().default(true),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
};

const missingControlHostsIssue = {path: ['control'], message: 'set at least one control host or seed'};

function hasControlHosts(settings: {readonly control: readonly unknown[]; readonly seeds: readonly unknown[]}): boolean {
	return settings.control.length > 0 || settings.seeds.length > 0;
}

const lease = z.strictObject({
	termMilliseconds: z.number().int().min(200).max(60_000).default(3000),
	renewMilliseconds: z.number().int().min(20).max(10_000).default(500),
}).readonly();

const attemptBudget = z.strictObject({
	/** Number of extra attempts per request. */
	ratio: z.number().min(0).max(1),
	/** Number of extra attempts allowed beyond the ratio in about ten seconds, summed over all entries. */
	slack: z.number().min(0),
}).readonly();

const hedging = z.strictObject({
	/** Number of hedges per request of a service, over all entries together; by default the one that the document sets. */
	ratio: z.number().min(0).max(1).optional(),
}).readonly();

/** Schema of the settings of an entry process; unknown keys are rejected. */
export const entrySettingsSchema = z.strictObject({
	...commonSettings,
	environment: z.enum(['trial', 'production']).default('production'),
	/** Handling of new requests while no control host is reachable: reject them, or serve them with the last known state. */
	withoutControl: z.enum(['stop', 'serve']).default('stop'),
	/** Budget of extra attempts for a service, shared by all entries. */
	attemptBudget: attemptBudget.optional(),
	/** Hedges by the latencies of routes and the slowness that servers state; without it, hedges start at a fixed share of the target. */
	hedging: hedging.optional(),
	/** Maximum number of load queries per second to one server, summed over all entries, for services that query the load before each request. */
	questionsPerServerAndSecond: z.number().min(0).default(60),
	callers: address,
	admin: address,
	peers: address.optional(),
	/** Interval at which the entry sends changed counts to its peers. */
	exchangeMilliseconds: z.number().int().min(5).max(10_000).default(150),
	/** Time for which a stopping entry reports that it is not ready before it stops accepting connections. */
	graceMilliseconds: z.number().int().min(0).max(600_000).default(1000),
	/** Time from the stop signal until the process is killed, if it is limited. The entry accepts connections for half of it at most, so that it can finish what it accepted. */
	stopSeconds: z.number().positive().max(3600).optional(),
	/** Maximum size of a request's line and headers in bytes, unless the document states one; the default leaves room in the usual 16 KiB for the headers that the entry adds. */
	maximumHeaderBytes: z.number().int().min(1024).max(1_048_576).default(15_360),
	maximumBodyBytes: z.number().int().min(1024).max(1_073_741_824).default(1_048_576),
	/** Maximum size in bytes of a request body that is held in memory; larger ones are streamed, and not sent to a second server. */
	maximumHeldBodyBytes: z.number().int().min(0).max(16_777_216).default(524_288),
	/** Maximum number of bytes of all request bodies that are held in memory together; further ones are streamed. */
	maximumHeldBytes: z.number().int().min(0).max(1_073_741_824).default(33_554_432),
	/** Maximum size in bytes of a response that is buffered; larger responses are streamed. */
	maximumHeldAnswerBytes: z.number().int().min(0).max(16_777_216).default(262_144),
	/** Maximum number of bytes of all responses that are buffered together; further ones are streamed. */
	maximumHeldAnswersBytes: z.number().int().min(0).max(1_073_741_824).default(67_108_864),
	/** Maximum size in bytes of any response; a larger one is broken off, so that a faulty server cannot occupy a connection with a body without end. */
	maximumAnswerBytes: z.number().int().min(1024).max(1_099_511_627_776).default(1_073_741_824),
	/** Rate of the network link of the entry. If it is set, responses of routes with large ones are sent as the link carries them. */
	linkMegabitsPerSecond: z.number().positive().max(1_000_000).optional(),
	lease: lease.prefault({}),
}).readonly().refine(hasControlHosts, missingControlHostsIssue);

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

/** By how much all entries together may exceed the quota of a workspace in any window. */
const quotaTolerance = z.strictObject({
	windowSeconds: z.number().min(0.1).max(3600).default(5),
	/** Share of what the quota allows in the window. */
	overshoot: z.number().min(0).max(10).default(0),
	/** Number of requests. */
	slack: z.number().min(0).max(1_000_000).default(0),
}).readonly();

/** Schema of the settings of a control process; unknown keys are rejected. */
export const controlSettingsSchema = z.strictObject({
	...commonSettings,
	dataFolder: z.string().min(1),
	/** Whether this is the first start of the system, in which the seeds form the initial membership. */
	founding: z.boolean().default(false),
	/** Number of simultaneous control host failures to tolerate; with seeds, it determines the number of voters. */
	toleratedLosses: z.number().int().min(0).max(10).default(2),
	links: address,
	api: address,
	election: election.prefault({}),
	ledger: ledger.prefault({}),
	quotaTolerance: quotaTolerance.prefault({}),
	lease: lease.prefault({}),
	/** Maximum time for which a request to the API waits for the leader, in milliseconds. */
	forwardMilliseconds: z.number().int().min(50).max(60_000).default(5000),
	/** Maximum time for which a stopping control host waits until the other voters form a quorum without it. */
	stopPatienceMilliseconds: z.number().int().min(0).max(600_000).default(10_000),
	/** Number of committed log entries after which a new snapshot is taken. */
	snapshotEvery: z.number().int().min(10).max(10_000_000).default(10_000),
	/** Growth of the log in bytes after which a new snapshot is taken, regardless of the number of entries. */
	snapshotBytes: z.number().int().min(65_536).max(1_073_741_824).default(16_777_216),
}).readonly().refine(hasControlHosts, missingControlHostsIssue);

/** Settings of an entry process. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/** Settings of a control process. */
export type ControlSettings = z.infer<typeof controlSettingsSchema>;

/** Paths of the files with the keys and certificates of a process. */
export type SecuritySettings = z.infer<typeof security>;

/** IP address and port. */
export type Address = z.infer<typeof address>;

/**
 * Gets the link addresses of the seeds, with `seedPort` if it is set.
 * @param settings - Settings of a process.
 */
export function getSeeds(settings: {readonly seeds: readonly Address[]; readonly seedPort?: number}): readonly Address[] {
	return settings.seeds.map(({host, port}) => ({host, port: settings.seedPort ?? port}));
}
