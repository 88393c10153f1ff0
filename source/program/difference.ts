/** Describes how two documents differ, one line for each difference. */

const maximumLines = 40;

/**
 * Gets the differences between two documents.
 * @param current - Document in force.
 * @param wanted - Document that was refused.
 */
export function describeChanges(current: unknown, wanted: unknown): readonly string[] {
	const lines = compare('', current, wanted);
	return lines.length > maximumLines ? [...lines.slice(0, maximumLines), `and ${lines.length - maximumLines} more`] : lines;
}

function compare(path: string, current: unknown, wanted: unknown): readonly string[] {
	if (isBranch(current) && isBranch(wanted)) {
		const names = new Set([...Object.keys(current), ...Object.keys(wanted)]);
		return [...names].flatMap(name => compare(path === '' ? name : `${path}.${name}`, current[name], wanted[name]));
	}

	return JSON.stringify(current) === JSON.stringify(wanted) ? [] : [`${path}: ${show(current)} -> ${show(wanted)}`];
}

function isBranch(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null;
}

function show(value: unknown): string {
	return value === undefined ? 'absent' : JSON.stringify(value);
}
