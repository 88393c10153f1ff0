/** Tells which changes of a settings file take effect when it is read again, and which only at the next start. */

/** Names of the settings that take effect while a process runs. */
const reloadedSettings: ReadonlySet<string> = new Set(['seeds', 'seedPort']);

/** Changed settings, by their names at the top level of the file. */
export type SettingsChange = {
	/** Settings that take effect now. */
	readonly applied: readonly string[];
	/** Settings that take effect when the process starts again. */
	readonly pending: readonly string[];
};

/**
 * Compares the settings with which a process started with those of its file.
 * @param started - Settings with which the process started.
 * @param current - Settings that were read from the file now.
 */
export function compareSettings(started: Readonly<Record<string, unknown>>, current: Readonly<Record<string, unknown>>): SettingsChange {
	const names = [...new Set([...Object.keys(started), ...Object.keys(current)])];
	const changed = names.filter(name => JSON.stringify(started[name]) !== JSON.stringify(current[name]));
	return {
		applied: changed.filter(name => reloadedSettings.has(name)),
		pending: changed.filter(name => !reloadedSettings.has(name)),
	};
}
