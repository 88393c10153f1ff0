import {readFileSync, rmSync} from 'node:fs';
import path from 'node:path';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {parse} from './grammar.js';
import {type Recording} from './recording.js';
import {runScenario} from './runner.js';

describe('runScenario: the logs', () => {
	async function doTest(expectedMembers: number, isKept: boolean): Promise<void> {
		const {keptFolder} = await runScenario(parse(`control 1\nentries 1\nservice stock servers=1\nstart\nexpect members ${expectedMembers} within 1s\n`));
		expect(keptFolder !== undefined).toEqual(isKept);
		if (keptFolder === undefined) {
			return;
		}

		const {statementStarts, violations} = JSON.parse(readFileSync(path.join(keptFolder, 'history.json'), 'utf8')) as Recording;
		expect(readFileSync(path.join(keptFolder, 'control-1.log'), 'utf8').includes('control host started')).toEqual(true);
		expect(statementStarts.map(({line}) => line)).toEqual([1, 2, 3, 4, 5]);
		expect(violations.length).toEqual(1);
		rmSync(keptFolder, {recursive: true});
	}

	// Guards against failures in CI that leave nothing to trace.
	test('are kept when the scenario fails', async () => doTest(2, true));
	test('are deleted when the scenario holds', async () => doTest(1, false));
});
