import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createInheritance, type HeldReport} from './index.js';

describe('createInheritance', () => {
	type Expected = {readonly confirmed: readonly number[]; readonly kept: number | undefined; readonly total: number};

	/** Reports the permits of entry `a`, and checks what each report confirms and what is left. */
	function doTest(reports: ReadonlyArray<Omit<HeldReport, 'entry'>>, expected: Expected): void {
		const inheritance = createInheritance();
		const confirmed = reports.map(report => inheritance.report({...report, entry: 'a'}));
		expect({confirmed, kept: inheritance.getKept('a'), total: inheritance.getTotal()}).toEqual({...expected, confirmed: [...expected.confirmed]});
	}

	const early = (amount: number): Omit<HeldReport, 'entry'> => ({amount, hasLease: false});
	const leased = (amount: number): Omit<HeldReport, 'entry'> => ({amount, hasLease: true});

	test('disposes of nothing before an entry has confirmed under a lease of this leader', () => {
		doTest([early(2), early(2)], {confirmed: [0, 0], kept: 2, total: 0});
	});
	test('disposes of what an entry confirms, once', () => {
		doTest([early(2), leased(2), leased(2)], {confirmed: [0, 2, 0], kept: undefined, total: 2});
	});
	test('disposes of no more than an entry was told to keep', () => {
		doTest([early(2), early(1), leased(2)], {confirmed: [0, 0, 1], kept: undefined, total: 1});
		doTest([leased(2)], {confirmed: [0], kept: undefined, total: 0});
	});
	test('lets an entry keep nothing that it has lost in between', () => {
		doTest([early(2), leased(0)], {confirmed: [0, 0], kept: undefined, total: 0});
		doTest([early(2), early(0), leased(2)], {confirmed: [0, 0, 0], kept: undefined, total: 0});
	});
	test('ignores reports that come late', () => {
		doTest([early(2), leased(1), early(2), leased(2)], {confirmed: [0, 1, 0, 0], kept: undefined, total: 1});
	});
});
