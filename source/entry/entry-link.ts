/** The network link of an entry in real time, if the settings state its rate. */
import {performance} from 'node:perf_hooks';
import {createLink, type Link} from '../link/index.js';
import {type EntrySettings} from '../settings/index.js';
import {type Log} from '../telemetry/index.js';

/**
 * Creates the link of an entry.
 * @param settings - Settings of the entry.
 * @param log - Log for changes of its state.
 */
export function createEntryLink({linkMegabitsPerSecond}: EntrySettings, log: Log): Link | undefined {
	if (linkMegabitsPerSecond === undefined) {
		return undefined;
	}

	return createLink({
		megabitsPerSecond: linkMegabitsPerSecond,
		getTime: () => performance.now(),
		schedule(run, milliseconds) {
			setTimeout(run, milliseconds);
		},
		refusals: {
			onRefusing() {
				log.warn({linkMegabitsPerSecond}, 'the link is busy; requests with large responses are refused');
			},
			onAccepting({refused, milliseconds}) {
				log.info({refused, milliseconds: Math.round(milliseconds)}, 'the link admits requests with large responses again');
			},
		},
	});
}
