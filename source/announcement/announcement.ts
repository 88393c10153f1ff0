/** What a server says of itself, once a second. */
import * as z from 'zod';

const name = z.string().regex(/^[a-zA-Z\d][\w.\-]{0,62}$/v, 'use 1 to 63 letters, digits, dots, hyphens and underscores');

/** Schema of an announcement; unknown keys are errors. */
export const announcementSchema = z.strictObject({
	service: name,
	name,
	host: z.union([z.ipv4(), z.ipv6()], 'use an IP number'),
	port: z.number().int().min(1).max(65_535),
	zone: z.string().min(1).max(63),
	slots: z.number().int().min(1).max(100_000),
	connections: z.number().int().min(1).max(1_000_000),
	/** Random id that the server draws at each start. */
	boot: z.string().min(1).max(64),
	state: z.enum(['cold', 'warm', 'leaving']),
	load: z.number().min(0).max(1_000_000).default(0),
	/** Wall-clock time of the boot in milliseconds, where the server tells; a later boot replaces an earlier one at its address. */
	bornAt: z.number().int().min(0).optional(),
	/** Rises with each announcement of one boot, where the server counts them. */
	sequence: z.number().int().min(0).optional(),
	/** How much longer the server stays cold in milliseconds, where it tells. */
	coldMilliseconds: z.number().min(0).optional(),
	probePath: z.string().startsWith('/').max(256).default('/health'),
}).readonly();

/** An announcement of a server. */
export type Announcement = z.infer<typeof announcementSchema>;
