import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type Directory} from '../control/message.js';
import {createHostDirectory} from './directory.js';

function createDirectory(index: number, ...hosts: readonly string[]): Directory {
	return {
		kind: 'directory', hosts, index, leader: undefined,
	};
}

describe('createHostDirectory', () => {
	function doTest(directories: readonly Directory[], expected: readonly string[]): void {
		const directory = createHostDirectory({control: [], seeds: [{host: '10.0.0.1', port: 7}]});
		for (const update of directories) {
			directory.update(update);
		}

		expect(directory.getHosts().map(host => host.name)).toEqual([...expected]);
	}

	test('starts with the seeds', () => {
		doTest([], ['10.0.0.1:7']);
	});
	test('keeps the seeds in addition to the members', () => {
		doTest([createDirectory(4, '10.0.0.2:7', '10.0.0.3:7')], ['10.0.0.2:7', '10.0.0.3:7', '10.0.0.1:7']);
	});
	test('ignores outdated members from a partitioned host', () => {
		doTest([createDirectory(9, '10.0.0.4:7'), createDirectory(4, '10.0.0.2:7')], ['10.0.0.4:7', '10.0.0.1:7']);
	});
	test('ignores an empty directory', () => {
		doTest([createDirectory(4, '10.0.0.2:7'), createDirectory(0)], ['10.0.0.2:7', '10.0.0.1:7']);
	});
});
