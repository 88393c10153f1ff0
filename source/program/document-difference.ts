/** Describes the differences between two documents, one line for each. */

const maximumLines = 40;

/**
 * Gets the differences between two documents, as `path: current -> proposed`.
 * @param current - Latest document of the environment.
 * @param proposed - Document that was rejected because of a version conflict.
 */
export function describeDifferences(current: unknown, proposed: unknown): readonly string[] {
	const lines = compareValues('', current, proposed);
	return lines.length > maximumLines ? [...lines.slice(0, maximumLines), `and ${lines.length - maximumLines} more`] : lines;
}

function compareValues(path: string, current: unknown, proposed: unknown): readonly string[] {
	if (isObject(current) && isObject(proposed)) {
		const names = new Set([...Object.keys(current), ...Object.keys(proposed)]);
		return [...names].flatMap(name => compareValues(path === '' ? name : `${path}.${name}`, current[name], proposed[name]));
	}

	return JSON.stringify(current) === JSON.stringify(proposed) ? [] : [`${path}: ${formatValue(current)} -> ${formatValue(proposed)}`];
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null;
}

function formatValue(value: unknown): string {
	return value === undefined ? 'absent' : JSON.stringify(value);
}
