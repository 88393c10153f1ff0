/** Faults of a run: each begins and ends at its time. */
import {type Network} from './network.js';
import {type Fault} from './plan.js';
import {type VirtualProcess, type VirtualWorld} from './virtual-world.js';

/** What faults act on. */
export type FaultTargets = {
	readonly world: VirtualWorld;
	readonly network: Network;
	readonly hostNames: readonly string[];
	readonly entryNames: readonly string[];
	readonly operatorNames: readonly string[];
	getProcess(name: string): VirtualProcess | undefined;
	/** Ends the process of a host or entry; the disk of a host keeps a number of the actions that were being written. */
	stop(name: string, writtenActions: number): void;
	start(name: string): void;
	transfer(from: string, to: string): void;
	readonly trace: ((text: string) => void) | undefined;
};

type Moment = {readonly begin: () => void; readonly end: () => void};

function doNothing(): void {
	// A transfer of the leadership ends by itself.
}

function createFreeze({world, getProcess}: FaultTargets, name: string): Moment {
	let process: VirtualProcess | undefined;
	return {
		begin() {
			process = getProcess(name);
			if (process !== undefined) {
				world.freeze(process);
			}
		},
		end() {
			if (process !== undefined) {
				world.thaw(process);
			}
		},
	};
}

function createRestart({getProcess, stop, start}: FaultTargets, name: string, writtenActions: number): Moment {
	return {
		begin() {
			stop(name, writtenActions);
		},
		end() {
			if (getProcess(name) === undefined) {
				start(name);
			}
		},
	};
}

function createCut({network}: FaultTargets, one: string, other: string): Moment {
	return {
		begin() {
			network.cut(one, other);
		},
		end() {
			network.heal(one, other);
		},
	};
}

/** Cuts a control host and an entry off from the other control hosts. */
function createPartition(targets: FaultTargets, host: string, entry: string): Moment {
	const others = targets.hostNames.filter(name => name !== host);
	const cuts = others.flatMap(other => [createCut(targets, host, other), createCut(targets, entry, other)]);
	return {
		begin() {
			for (const cut of cuts) {
				cut.begin();
			}
		},
		end() {
			for (const cut of cuts) {
				cut.end();
			}
		},
	};
}

function createHold({network}: FaultTargets, from: readonly string[], to: readonly string[]): Moment {
	const links = from.flatMap(sender => to.map(receiver => [sender, receiver] as const));
	return {
		begin() {
			for (const [sender, receiver] of links) {
				network.hold(sender, receiver);
			}
		},
		end() {
			for (const [sender, receiver] of links) {
				network.release(sender, receiver, 'delivered');
			}
		},
	};
}

/** Gets what begins and ends with a fault. */
function getMoment(targets: FaultTargets, fault: Fault): Moment {
	const {network, hostNames, entryNames, operatorNames} = targets;
	switch (fault.kind) {
		case 'freezeHost': {
			const name = hostNames[fault.host]!;
			const freeze = createFreeze(targets, name);
			return {
				begin() {
					freeze.begin();
					network.setLosesCloses(name, fault.closes === 'lost');
				},
				end() {
					freeze.end();
					network.setLosesCloses(name, false);
				},
			};
		}

		case 'freezeEntry': {
			return createFreeze(targets, entryNames[fault.entry]!);
		}

		case 'restartHost': {
			return createRestart(targets, hostNames[fault.host]!, fault.writtenActions);
		}

		case 'restartEntry': {
			return createRestart(targets, entryNames[fault.entry]!, 0);
		}

		case 'cutHosts': {
			return createCut(targets, hostNames[fault.host]!, hostNames[(fault.host + fault.other) % hostNames.length]!);
		}

		case 'partition': {
			return createPartition(targets, hostNames[fault.host]!, entryNames[fault.entry]!);
		}

		case 'cutEntry': {
			return createCut(targets, hostNames[fault.host]!, entryNames[fault.entry]!);
		}

		case 'holdHosts': {
			return createHold(targets, [hostNames[fault.host]!], [hostNames[(fault.host + fault.other) % hostNames.length]!]);
		}

		case 'holdEntry': {
			const ends = [hostNames[fault.host]!, entryNames[fault.entry]!];
			return createHold(targets, ends, ends);
		}

		case 'holdResponses': {
			return createHold(targets, [hostNames[fault.host]!], operatorNames);
		}

		case 'holdCalls': {
			const host = hostNames[fault.host]!;
			return {
				...createHold(targets, operatorNames, [host]),
				end() {
					for (const name of operatorNames) {
						network.release(name, host, fault.closes);
					}
				},
			};
		}

		case 'storm': {
			return {
				begin() {
					network.setStorm(true);
				},
				end() {
					network.setStorm(false);
				},
			};
		}

		case 'transfer': {
			return {
				begin() {
					for (const name of hostNames) {
						targets.transfer(name, hostNames[fault.host]!);
					}
				},
				end: doNothing,
			};
		}
	}
}

/**
 * Schedules the faults of a run.
 * @param targets - What the faults act on.
 * @param faults - Faults, whose times count from now.
 */
export function scheduleFaults(targets: FaultTargets, faults: readonly Fault[]): void {
	const process: VirtualProcess = {name: 'faults', isFrozen: false, isEnded: false};
	for (const fault of faults) {
		const {begin, end} = getMoment(targets, fault);
		targets.world.schedule(fault.at, {
			process, run() {
				targets.trace?.(`begin ${JSON.stringify(fault)}`);
				begin();
			},
		});
		targets.world.schedule(fault.at + fault.duration, {
			process, run() {
				targets.trace?.(`end ${fault.kind}`);
				end();
			},
		});
	}
}
