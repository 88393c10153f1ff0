/**
 * Measures in a single process how costs grow with the numbers of servers, entries, services, versions, candidates, claims and
 * changes. Together the rows of a kind give its slope, the cost of one more item, on which docs/CAPACITY.md is based.
 */
import {
	createMaximumTarget, type BenchOptions, type BenchReport, type BenchRow, type BenchTarget,
} from '../report.js';
import {measureGrants, measureAnnouncements} from './control.js';
import {measureDocuments, measureVersions} from './documents.js';
import {measureViews, measureChoices, measureCounts} from './entry.js';
import {measureClaims, measureSnapshots} from './ledger.js';
import {measureRestart, measureAppends, measureSyncs} from './log.js';

/**
 * Measures every slope.
 * @param options - Seed and whether to measure fewer and smaller sizes.
 */
export async function runSlopes(options: BenchOptions): Promise<BenchReport> {
	const rows: BenchRow[] = [];
	const targets: BenchTarget[] = [];
	const serverCounts = options.isQuick ? [35, 500, 2000] : [35, 200, 500, 1000, 2000, 5000, 17_000];
	const entryCounts = options.isQuick ? [3, 60] : [3, 15, 30, 60];
	rows.push(
		...serverCounts.map(serverCount => measureGrants(serverCount, 15)),
		...entryCounts.map(entryCount => measureGrants(35, entryCount)),
		...[2, 50, 300, 1300].map(serviceCount => measureDocuments(serviceCount)),
		...[1, 50].map(versionCount => measureVersions(versionCount)),
		...serverCounts.map(serverCount => measureViews(serverCount)),
		...[12, 35, 200, 2000].flatMap(candidateCount => [measureChoices(candidateCount, 'two-joint-choices'), measureChoices(candidateCount, 'least-in-flight')]),
		...[12, 35, 200].map(serverCount => measureCounts(serverCount)),
		...[100, 1000, 10_000].map(entryCount => measureAppends(entryCount)),
		measureAnnouncements(35),
		measureAnnouncements(2000),
		...[10_000, options.isQuick ? 50_000 : 200_000].map(claimCount => measureClaims(claimCount)),
	);
	for (const claimCount of [10_000, 200_000]) {
		rows.push(await measureSnapshots(claimCount));
	}

	for (const changeCount of [100, 1000, options.isQuick ? 2000 : 5000]) {
		const row = await measureRestart(changeCount);
		rows.push(row);
		if (changeCount === 1000) {
			targets.push(createMaximumTarget('time to read and apply a log of 1,000 changes, in ms', 1000, Number(row.milliseconds)));
		}
	}

	for (const batchSize of [1, 10, 100]) {
		rows.push(await measureSyncs(batchSize));
	}

	return {
		bench: 'slopes', seed: options.seed, rows, targets,
	};
}
