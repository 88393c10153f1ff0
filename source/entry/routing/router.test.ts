import {describe, test} from 'node:test';
import {expect} from 'earl';
import {documentSchema, type Route} from '../../configuration/index.js';
import {createRandom} from '../../randomness/index.js';
import {getRequestTime} from '../servers/index.js';
import {createRouter} from './router.js';

describe('createRouter', () => {
	const {services} = documentSchema.parse({
		zones: [{name: 'north'}],
		services: [
			{name: 'stock', path: '/stock'},
			{name: 'weeks', path: '/stock/weeks/'},
			{name: 'club', host: 'club.example', path: '/'},
			{name: 'club-orders', host: 'Club.example', path: '/orders'},
		],
	});

	function doTest(host: string | undefined, target: string, expected: string | undefined): void {
		expect(createRouter(services).get(host, target)?.name).toEqual(expected);
	}

	test('finds a service by its path', () => {
		doTest('any', '/stock', 'stock');
	});
	test('finds a service below its path', () => {
		doTest('any', '/stock/bone?week=3', 'stock');
	});
	test('prefers the longest path', () => {
		doTest('any', '/stock/weeks/7', 'weeks');
	});
	test('does not match half a segment', () => {
		doTest('any', '/stocks', undefined);
	});
	test('finds a service by its host, ignoring port and case', () => {
		doTest('CLUB.example:8080', '/jerseys', 'club');
	});
	test('finds the longest path of a host', () => {
		doTest('club.example', '/orders/1', 'club-orders');
	});
	test('falls back to services of any host when no host matches', () => {
		doTest(undefined, '/stock', 'stock');
	});
	test('finds nothing for an unknown path', () => {
		doTest('any', '/', undefined);
	});
});

describe('getRequestTime', () => {
	function doTest(headers: ReadonlyArray<string | undefined>, expected: ReturnType<typeof getRequestTime>): void {
		const {services, routes} = documentSchema.parse({
			zones: [{name: 'north'}], services: [{name: 'stock'}], routes: [{
				name: 'look', parts: [{service: 'stock', weight: 1}], isIdempotent: true, timeoutMilliseconds: 2000, targetMilliseconds: 200, attempts: 2,
			}],
		});
		const route = createRouter(services, routes).get('any', '/1')!;
		expect(headers.map(header => getRequestTime(header, route, 0)).at(-1)).toEqual(expected);
	}

	test('uses the timeout of the route when the header is missing', () => {
		doTest([undefined], {remainingMilliseconds: 2000, elapsedMilliseconds: 0});
	});
	test('uses a shorter deadline of the caller', () => {
		doTest(['150'], {remainingMilliseconds: 150, elapsedMilliseconds: 0});
	});
	test('limits a longer deadline to the timeout', () => {
		doTest(['99999'], {remainingMilliseconds: 2000, elapsedMilliseconds: 0});
	});
	test('estimates the time that a retrying caller has spent, also when its deadline exceeds the timeout of the route', () => {
		doTest(['3000', '2600'], {remainingMilliseconds: 2000, elapsedMilliseconds: 400});
	});
	test('rejects a value that is not a whole number of milliseconds', () => {
		doTest(['1.5'], undefined);
	});
});

describe('createRouter: routes of a document', () => {
	const route: Route = {
		name: 'orders', host: 'shop.example', path: '/orders/', parts: [{service: 'old', weight: 90}, {service: 'new', weight: 10}], isIdempotent: false, timeoutMilliseconds: 800, targetMilliseconds: 200, priority: 1, attempts: 2,
	};

	function doTest(target: string, expected: string | undefined): void {
		const router = createRouter([], [route, {...route, name: 'archive', path: '/orders/old/'}], createRandom(1));
		expect(router.get('shop.example', target)?.name).toEqual(expected);
	}

	test('matches a prefix only as written', () => {
		doTest('/orders/7?x=1', 'orders');
		doTest('/orders', undefined);
		doTest('/ordersx/7', undefined);
	});
	test('prefers the longest prefix', () => {
		doTest('/orders/old/7', 'archive');
		doTest('/orders/older/7', 'orders');
	});
	test('gives each service its share over short periods', () => {
		const policy = createRouter([], [route], createRandom(1)).get('shop.example', '/orders/1')!;
		const taken = Array.from({length: 200}, () => policy.selectService());
		for (let from = 0; from + 50 <= taken.length; from += 10) {
			const share = taken.slice(from, from + 50).filter(service => service === 'new').length / 50;
			expect(share >= 0.08 && share <= 0.12).toEqual(true);
		}
	});
});

describe('createRouter: urgent routes', () => {
	function doTest(priorities: readonly number[], expected: readonly boolean[]): void {
		const routes = priorities.map((priority, index): Route => ({
			name: `r${index}`, host: 'shop.example', path: `/${index}/`, parts: [{service: 'stock', weight: 1}], isIdempotent: true, timeoutMilliseconds: 800, targetMilliseconds: 200, priority, attempts: 2,
		}));
		const router = createRouter([], routes, createRandom(1));
		expect(routes.map(({path}) => router.get('shop.example', path)?.isUrgent)).toEqual([...expected]);
	}

	test('marks the route with the lowest priority number of a service as urgent', () => {
		doTest([2, 1, 2], [false, true, false]);
	});
	test('marks no route as urgent when all have the same priority', () => {
		doTest([2, 2], [false, false]);
	});
});
