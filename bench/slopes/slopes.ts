/**
 * Slopes for docs/CAPACITY.md: what one more server, entry, service, announcement,
 * claim or change costs, in one process. Times are medians of repeated runs.
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
 * Runs the bench.
 * @param options - Seed and length.
 */
export async function runSlopes(options: BenchOptions): Promise<BenchReport> {
	const rows: BenchRow[] = [];
	const targets: BenchTarget[] = [];
	const serverCounts = options.isQuick ? [35, 500, 2000] : [35, 200, 500, 1000, 2000, 5000, 17_000];
	const entryCounts = options.isQuick ? [3, 60] : [3, 15, 30, 60];
	rows.push(
		...serverCounts.map(servers => measureGrants(servers, 15)),
		...entryCounts.map(entries => measureGrants(35, entries)),
		...[2, 50, 300, 1300].map(services => measureDocuments(services)),
		...[1, 50].map(versions => measureVersions(versions)),
		...serverCounts.map(servers => measureViews(servers)),
		...[12, 35, 200, 2000].flatMap(candidates => [measureChoices(candidates, 'two-joint-choices'), measureChoices(candidates, 'least-in-flight')]),
		...[12, 35, 200].map(servers => measureCounts(servers)),
		...[100, 1000, 10_000].map(entries => measureAppends(entries)),
		measureAnnouncements(35),
		measureAnnouncements(2000),
		...[10_000, options.isQuick ? 50_000 : 200_000].map(claims => measureClaims(claims)),
	);
	for (const claims of [10_000, 200_000]) {
		rows.push(await measureSnapshots(claims));
	}

	for (const changes of [100, 1000, options.isQuick ? 2000 : 5000]) {
		const row = await measureRestart(changes);
		rows.push(row);
		if (changes === 1000) {
			targets.push(createMaximumTarget('ms to read and apply 1,000 piled-up changes', 1000, Number(row.milliseconds)));
		}
	}

	for (const group of [1, 10, 100]) {
		rows.push(await measureSyncs(group));
	}

	return {
		bench: 'slopes', seed: options.seed, rows, targets,
	};
}
