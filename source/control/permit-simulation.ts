/**
 * Plays entries that hold permits for cold servers while control hosts become leaders one after the other, in virtual time. A host that
 * was replaced still decides on the renewals that it received before. Only tests use this.
 */
import {announcementSchema, type Announcement} from '../announcement/index.js';
import {documentSchema} from '../configuration/index.js';
import {type Renewal} from '../lease/index.js';
import {createLeadership, type Leadership} from './leadership.js';
import {createSimulatedEntry, type SimulatedEntry} from './simulated-entry.js';
import {createStateMachine, type Command, type StateMachine} from './state-machine.js';

export const termMilliseconds = 1000;
export const hostCount = 3;

const slotsOfServer = 6;
const growthPerSuccess = 0.2;

/** Maximum number of holders of a rate for one server. */
export const maximumHolders = 4;

const stepMilliseconds = 10;
const tickMilliseconds = 100;

/** Way of one renewal to a control host, and of its grant back, in milliseconds; a missing delay means that the message is lost. */
export type Delivery = {readonly host: number; readonly renewal: number | undefined; readonly decision: number; readonly grant: number | undefined};

type Event = {readonly at: number; readonly order: number; run(): void};
type SimulatedHost = {leadership: Leadership | undefined; leadsUntil: number; busyUntil: number; readonly linksBusyUntil: Map<string, number>};

/** Options of `createPermitSimulation`. */
export type PermitSimulationOptions = {
	/** Number of servers whose slots are allocated. */
	readonly slotServers: number;
	/** Number of servers whose request rate is allocated. */
	readonly rateServers: number;
	readonly initialSlots: number;
	/** Whether each entry is of a release that reports what it holds. */
	readonly entries: readonly boolean[];
	readonly deadlineMilliseconds: number;
};

/** Entries and leaders in virtual time. */
export type PermitSimulation = {
	readonly entries: readonly SimulatedEntry[];
	readonly slotServers: readonly number[];
	readonly rateServers: readonly number[];
	getNow(): number;
	/** Makes a control host the leader. */
	startLeader(host: number): void;
	/** Lets a server announce a number of slots. */
	announce(server: number, slots: number): void;
	/** Gets the capacity of a server that the current leader knows. */
	getKnownCapacity(server: number): number;
	/** Sends a renewal to control hosts. */
	renew(entry: SimulatedEntry, deliveries: readonly Delivery[]): void;
	/** Runs until a time, and calls a function at each step. */
	runUntil(end: number, step: (now: number) => void): void;
	getRateHolders(server: number): readonly SimulatedEntry[];
	/** Gets the slots that the server can carry after its successes so far. */
	getTrueCapacity(server: number): number;
};

function getAnnouncement(index: number, service: string, slots: number): Announcement {
	return announcementSchema.parse({
		service, name: `s${index}`, host: '10.0.0.1', port: index + 1, zone: 'north', slots, connections: 100, boot: 'b', state: 'cold',
	});
}

function createMachine({slotServers, rateServers, deadlineMilliseconds, initialSlots}: PermitSimulationOptions): StateMachine {
	const machine = createStateMachine({
		retentionMilliseconds: 1000, maximumClaims: 10, maximumAnswerBytes: 10, maximumStoredBytes: 10,
	});
	const document = documentSchema.parse({
		zones: [{name: 'north'}],
		services: [
			{name: 'stock', deadlineMilliseconds, easing: {initialSlots, growthPerSuccess, ceilingMilliseconds: 30_000}},
			{
				name: 'price', path: '/price', deadlineMilliseconds, warmUp: {milliseconds: 30_000, requestsPerSecond: 18},
			},
		],
	});
	machine.apply({
		area: 'configuration', command: {
			kind: 'apply', environment: 'production', base: 0, change: 'c', author: 'a', at: 0, update: {kind: 'whole', document},
		},
	}, 1);
	for (let index = 0; index < slotServers + rateServers; index++) {
		const announcement = getAnnouncement(index, index < slotServers ? 'stock' : 'price', slotsOfServer);
		machine.apply({area: 'registry', command: {kind: 'announced', at: 0, announcement}}, index + 2);
	}

	return machine;
}

/**
 * Creates a simulation without a leader, at time 0.
 * @param options - Servers and entries.
 */
export function createPermitSimulation(options: PermitSimulationOptions): PermitSimulation {
	const machine = createMachine(options);
	const ids = [...machine.registry.getAll()].map(server => server.id);
	const entries: readonly SimulatedEntry[] = options.entries.map((reportsHeld, index) => createSimulatedEntry(`e${index}`, reportsHeld));
	const totalSuccesses = new Map<number, number>();
	const hosts: readonly SimulatedHost[] = Array.from({length: hostCount}, () => ({
		leadership: undefined, leadsUntil: 0, busyUntil: 0, linksBusyUntil: new Map(),
	}));
	let epoch = 0;
	let events: Event[] = [];
	let order = 0;
	let now = 0;

	function getLeadership(): Leadership {
		return hosts.find(({leadsUntil}) => leadsUntil > now)!.leadership!;
	}

	function schedule(at: number, run: () => void): void {
		events.push({at, order: order++, run});
	}

	/** Passes a message on its link, on which messages do not overtake each other. */
	function deliver(host: SimulatedHost, link: string, delay: number, run: () => void): void {
		const at = Math.max(now + delay, host.linksBusyUntil.get(link) ?? 0);
		host.linksBusyUntil.set(link, at);
		schedule(at, run);
	}

	/** Lets a control host decide on a renewal after some time, if it leads when it receives it. */
	function receive(host: SimulatedHost, entry: SimulatedEntry, renewal: Renewal, delivery: Delivery): void {
		const {leadership} = host;
		if (leadership === undefined || now >= host.leadsUntil) {
			return;
		}

		const receivedAt = now;
		host.busyUntil = Math.max(host.busyUntil, now + delivery.decision);
		schedule(host.busyUntil, () => {
			if (host.leadership !== leadership) {
				return;
			}

			const grant = leadership.grant(renewal, receivedAt, now);
			if (delivery.grant !== undefined) {
				deliver(host, `to ${entry.name}`, delivery.grant, () => {
					entry.apply(grant, now);
				});
			}
		});
	}

	function finishRequests(): void {
		for (const entry of entries) {
			for (const server of entry.finishRequests(now)) {
				totalSuccesses.set(server, (totalSuccesses.get(server) ?? 0) + 1);
			}
		}
	}

	function runDueEvents(): void {
		const due = events.filter(event => event.at <= now).toSorted((one, other) => one.at - other.at || one.order - other.order);
		events = events.filter(event => event.at > now);
		for (const event of due) {
			event.run();
		}
	}

	return {
		entries,
		slotServers: ids.slice(0, options.slotServers),
		rateServers: ids.slice(options.slotServers),
		getNow: () => now,
		startLeader(index) {
			for (const host of hosts) {
				host.leadsUntil = Math.min(host.leadsUntil, now);
			}

			const host = hosts[index]!;
			host.leadsUntil = Number.POSITIVE_INFINITY;
			host.leadership = createLeadership({
				epoch: ++epoch, startedAt: now, termMilliseconds, machine, getWallClock: () => 0, getAppliedIndex: () => ids.length + 1,
			});
		},
		announce(server, slots) {
			const command: Command = {area: 'registry', command: {kind: 'announced', at: 0, announcement: getAnnouncement(ids.indexOf(server), 'stock', slots)}};
			const result = machine.apply(command, ids.length + 2);
			getLeadership().updateServers(result.area === 'registry' ? result.changed : [], now);
		},
		getKnownCapacity: server => getLeadership().getServers(now).find(({id}) => id === server)?.permits?.capacity ?? 0,
		renew(entry, deliveries) {
			const renewal = entry.createRenewal(ids, now);
			for (const delivery of deliveries) {
				const host = hosts[delivery.host]!;
				if (delivery.renewal !== undefined) {
					deliver(host, `from ${entry.name}`, delivery.renewal, () => {
						receive(host, entry, renewal, delivery);
					});
				}
			}
		},
		runUntil(end, step) {
			for (; now < end; now += stepMilliseconds) {
				finishRequests();
				runDueEvents();
				if (now % tickMilliseconds === 0) {
					for (const {leadership} of hosts) {
						leadership?.tick(now);
					}
				}

				step(now);
			}
		},
		getRateHolders: server => entries.filter(entry => entry.hasRate(server, now)),
		getTrueCapacity: server => Math.min(slotsOfServer, Math.floor(options.initialSlots + ((totalSuccesses.get(server) ?? 0) * growthPerSuccess) + 1e-9)),
	};
}
