/** Schema of the announcement in which a server reports its address and state once a second. */
import * as z from 'zod';

const name = z.string().regex(/^[a-zA-Z\d][\w.\-]{0,62}$/v, 'use 1 to 63 letters, digits, dots, hyphens and underscores');

/** Schema of an announcement; unknown keys are rejected. */
export const announcementSchema = z.strictObject({
	service: name,
	name,
	host: z.union([z.ipv4(), z.ipv6()], 'use an IP address'),
	port: z.number().int().min(1).max(65_535),
	zone: z.string().min(1).max(63),
	slots: z.number().int().min(1).max(100_000),
	connections: z.number().int().min(1).max(1_000_000),
	/** Random id that the server generates at each start. */
	boot: z.string().min(1).max(64),
	state: z.enum(['cold', 'warm', 'leaving']),
	load: z.number().min(0).max(1_000_000).default(0),
	/** Wall-clock time of the boot in milliseconds, if the server reports it; a later boot replaces an earlier one at the same address. */
	bornAt: z.number().int().min(0).optional(),
	/** Sequence number that increases with each announcement of a boot, if the server sends one. */
	sequence: z.number().int().min(0).optional(),
	/** Remaining time for which the server is cold in milliseconds, if the server reports it. */
	coldMilliseconds: z.number().min(0).optional(),
	probePath: z.string().regex(/^\/[\u0021-\u007E]{0,255}$/v, 'use a path of printable ASCII characters').default('/health'),
}).readonly();

/** An announcement of a server. */
export type Announcement = z.infer<typeof announcementSchema>;
