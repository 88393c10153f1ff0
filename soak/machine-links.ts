/**
 * Links from each machine to each control host, over which their processes connect. The addresses that the processes know and announce
 * stay as they are: `redirect.cjs`, which is loaded into each process, leads to the links, so that the program itself is unchanged.
 */
import path from 'node:path';
import type process from 'node:process';
import {type Machine} from '../stand-in/platform/system.js';
import {openLink, type Link, type LinkFault} from './link.js';

const hook = path.resolve('soak/redirect.cjs');

/** Links that are open. */
export type MachineLinks = {
	/** Gets the environment variables with which the process of a machine uses its links. */
	getEnvironment(machine: Machine): typeof process.env;
	/** Starts a fault between a machine and a control host, whose direction is seen from the machine, or ends the current one. */
	disturb(machine: Machine, control: Machine, fault: LinkFault | undefined): void;
	close(): void;
};

/** Options of `openMachineLinks`. */
export type MachineLinksOptions = {
	readonly machines: readonly Machine[];
	readonly controls: readonly Machine[];
	/** Port of the control hosts for links between processes, which the links use too. */
	readonly port: number;
	/** Gets the address of a link by its number. */
	getHost(number: number): string;
};

/** Gets a fault as the other end sees it. */
function mirror(fault: LinkFault): LinkFault {
	if (!('direction' in fault) || fault.direction === 'both') {
		return fault;
	}

	return {...fault, direction: fault.direction === 'to' ? 'from' : 'to'};
}

/**
 * Opens the links.
 * @param options - Machines and addresses.
 */
export async function openMachineLinks(options: MachineLinksOptions): Promise<MachineLinks> {
	const {machines, controls, port} = options;
	const links = new Map<string, {readonly link: Link; readonly host: string}>();
	const getKey = (from: Machine, to: Machine): string => `${from.name} ${to.name}`;
	for (const machine of machines) {
		for (const control of controls) {
			if (control !== machine) {
				const host = options.getHost(links.size + 1);
				links.set(getKey(machine, control), {
					host, link: await openLink({
						host, port, targetHost: control.host, targetPort: port,
					}),
				});
			}
		}
	}

	function disturbLink(link: Link | undefined, fault: LinkFault | undefined): void {
		if (fault === undefined) {
			link?.end();
		} else {
			link?.start(fault);
		}
	}

	return {
		getEnvironment(machine) {
			const routes = controls.flatMap(control => {
				const route = links.get(getKey(machine, control));
				return route === undefined ? [] : [[`${control.host}:${port}`, {host: route.host, port}]];
			});
			return {NODE_OPTIONS: `--require ${hook}`, SOAK_ROUTES: JSON.stringify(Object.fromEntries(routes))};
		},
		disturb(machine, control, fault) {
			disturbLink(links.get(getKey(machine, control))?.link, fault);
			disturbLink(links.get(getKey(control, machine))?.link, fault === undefined ? undefined : mirror(fault));
		},
		close() {
			for (const {link} of links.values()) {
				link.close();
			}
		},
	};
}
