/** Counts which kinds of messages met which faults. */

/** What became of a message. `frozen` and `ended`: its receiver stood still or had ended when it was due. */
export type Fate = 'delivered' | 'lost' | 'doubled' | 'delayed' | 'held' | 'frozen' | 'ended';

/** All fates, in the order of the table. */
export const fates: readonly Fate[] = ['delivered', 'lost', 'doubled', 'delayed', 'held', 'frozen', 'ended'];

/** Counts by kind of message and by fate. */
export type Coverage = {
	record(kind: string, fate: Fate): void;
	getCount(kind: string, fate: Fate): number;
	getKinds(): readonly string[];
	/** Renders the counts as a table. */
	render(): string;
};

/** Creates counts of zero. */
export function createCoverage(): Coverage {
	const counts = new Map<string, Record<Fate, number>>();

	function getKinds(): readonly string[] {
		return [...counts.keys()].toSorted();
	}

	return {
		record(kind, fate) {
			let row = counts.get(kind);
			if (row === undefined) {
				row = {
					delivered: 0, lost: 0, doubled: 0, delayed: 0, held: 0, frozen: 0, ended: 0,
				};
				counts.set(kind, row);
			}

			row[fate]++;
		},
		getCount: (kind, fate) => counts.get(kind)?.[fate] ?? 0,
		getKinds,
		render() {
			const width = Math.max(0, ...getKinds().map(kind => kind.length));
			const rows = getKinds().map(kind => [kind.padEnd(width), ...fates.map(fate => String(counts.get(kind)![fate]).padStart(10))].join(''));
			return [[''.padEnd(width), ...fates.map(fate => fate.padStart(10))].join(''), ...rows].join('\n');
		},
	};
}
