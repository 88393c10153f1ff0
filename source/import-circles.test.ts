import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {describe, test} from 'node:test';
import {expect} from 'earl';

const folders = ['source', 'platform', 'stand-in'];

function findFiles(folder: string): readonly string[] {
	return readdirSync(folder, {withFileTypes: true, recursive: true})
		.filter(file => file.isFile() && file.name.endsWith('.ts'))
		.map(file => path.join(file.parentPath, file.name));
}

/** Gets the files of the project that a file imports, also for types only. */
function getImports(file: string): readonly string[] {
	const matches = readFileSync(file, 'utf8').matchAll(/^(?:import|export|\} from)\b.*?'(?<target>\.[^']+)\.js'/gmv);
	return [...matches].map(match => `${path.join(path.dirname(file), match.groups!.target!)}.ts`);
}

/** Gets the circles of a graph, each as its files in order, beginning with the first by name. */
function findCircles(importsByFile: ReadonlyMap<string, readonly string[]>): readonly string[] {
	const circles = new Set<string>();
	const finished = new Set<string>();
	function visit(file: string, trail: readonly string[]): void {
		const start = trail.indexOf(file);
		if (start !== -1) {
			circles.add(trail.slice(start).toSorted((one, other) => one.localeCompare(other)).join(' '));
			return;
		}

		if (finished.has(file)) {
			return;
		}

		for (const next of importsByFile.get(file) ?? []) {
			visit(next, [...trail, file]);
		}

		finished.add(file);
	}

	for (const file of importsByFile.keys()) {
		visit(file, []);
	}

	return [...circles];
}

describe('the imports between files', () => {
	test('have no circles', () => {
		const files = folders.flatMap(folder => findFiles(folder));
		expect(findCircles(new Map(files.map(file => [file, getImports(file)])))).toEqual([]);
	});
});
