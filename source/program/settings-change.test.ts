import {describe, test} from 'node:test';
import {expect} from 'earl';
import {controlSettingsSchema} from '../settings/index.js';
import {compareSettings, type SettingsChange} from './settings-change.js';

// Guards against a reload that says that settings are in force which wait for the next start.
describe('compareSettings', () => {
	function doTest(changes: Readonly<Record<string, unknown>>, expected: SettingsChange): void {
		const settings = {
			name: 'a', zone: 'north', dataFolder: 'data', links: '127.0.0.1:1', api: '127.0.0.1:2', seeds: ['127.0.0.1:1'],
		};
		expect(compareSettings(controlSettingsSchema.parse(settings), controlSettingsSchema.parse({...settings, ...changes}))).toEqual(expected);
	}

	test('finds no change', () => {
		doTest({}, {applied: [], pending: []});
	});
	test('tells seeds, which take effect, from the other settings', () => {
		doTest({seeds: ['127.0.0.1:3'], logLevel: 'debug', election: {timeoutMilliseconds: 400}}, {applied: ['seeds'], pending: ['logLevel', 'election']});
	});
});
