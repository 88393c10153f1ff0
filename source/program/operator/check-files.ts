/** Validates files of documents and settings without applying them. */
import {documentSchema} from '../../configuration/index.js';
import {controlSettingsSchema, entrySettingsSchema, readTomlFile} from '../../settings/index.js';
import {rejectInput} from '../exit.js';
import {printLine} from '../print.js';

type Schema = typeof documentSchema | typeof controlSettingsSchema | typeof entrySettingsSchema;

function getSchema(kind: string): Schema {
	switch (kind) {
		case 'document': {
			return documentSchema;
		}

		case 'control': {
			return controlSettingsSchema;
		}

		case 'entry': {
			return entrySettingsSchema;
		}

		default: {
			return rejectInput([`--kind: "${kind}" is unknown; use document, control or entry`]);
		}
	}
}

/**
 * Validates files without applying them.
 * @param files - Paths of the files.
 * @param kind - Schema of the files: `document`, `control` or `entry`.
 */
export function checkFiles(files: readonly string[], kind: string): void {
	const schema = getSchema(kind);
	const messages = files.flatMap(file => {
		const outcome = readTomlFile(file, schema);
		return outcome.isErr ? outcome.error : [];
	});
	if (messages.length > 0) {
		rejectInput(messages);
	}

	for (const file of files) {
		printLine(`${file}: ok`);
	}
}
