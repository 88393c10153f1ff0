/** Plans of runs: what two operators order and read, and which faults occur meanwhile. */
import fc from 'fast-check';
import {type HeldCloses} from './network.js';

/** Step of an operator, which begins after a pause in milliseconds. Places are numbers of control hosts. */
export type OperatorStep = {readonly pause: number; readonly firstHost: number} & (
	| {readonly kind: 'evacuate' | 'withdraw'; readonly zone: 'a' | 'b'; readonly attempts: number}
	| {readonly kind: 'declare'; readonly version: number; readonly attempts: number}
	| {readonly kind: 'read'}
);

/** Fault that begins at a time and ends after a duration, in milliseconds. */
export type Fault = {readonly at: number; readonly duration: number} & (
	/** Stops a control host; the closes of callers' connections that arrive meanwhile may be lost. */
	| {readonly kind: 'freezeHost'; readonly host: number; readonly closes: 'delivered' | 'lost'}
	| {readonly kind: 'restartHost'; readonly host: number; readonly writtenActions: number}
	| {readonly kind: 'freezeEntry' | 'restartEntry'; readonly entry: number}
	/** Cuts the link of two control hosts, or holds what one sends to the other, which is that many places behind it. */
	| {readonly kind: 'cutHosts' | 'holdHosts'; readonly host: number; readonly other: number}
	/** Cuts a control host and an entry off from the other control hosts. */
	| {readonly kind: 'partition'; readonly host: number; readonly entry: number}
	| {readonly kind: 'cutEntry' | 'holdEntry'; readonly host: number; readonly entry: number}
	/** Holds the calls to a control host. */
	| {readonly kind: 'holdCalls'; readonly host: number; readonly closes: HeldCloses}
	/** Loses the responses of a control host to calls. */
	| {readonly kind: 'holdResponses'; readonly host: number}
	| {readonly kind: 'storm'}
	| {readonly kind: 'transfer'; readonly host: number}
);

/** Plan of a run. */
export type Plan = {readonly seed: number; readonly operators: ReadonlyArray<readonly OperatorStep[]>; readonly faults: readonly Fault[]};

/** Number of control hosts. */
export const hostCount = 3;

/** Number of entries. */
export const entryCount = 2;

const maximumFaults = 4;
const host = fc.nat(hostCount - 1);
const entry = fc.nat(entryCount - 1);

const place = {
	pause: fc.nat(300), firstHost: host,
};

const zoneOrder = fc.record({
	...place, kind: fc.constantFrom('evacuate' as const, 'withdraw' as const), zone: fc.constantFrom('a' as const, 'a' as const, 'a' as const, 'b' as const), attempts: fc.constantFrom(1, 3, 3),
});

const operatorStep: fc.Arbitrary<OperatorStep> = fc.oneof(
	{weight: 5, arbitrary: zoneOrder},
	{
		weight: 2, arbitrary: fc.record({
			...place, kind: fc.constant('declare' as const), version: fc.integer({min: 1, max: 9}), attempts: fc.constantFrom(1, 3),
		}),
	},
	{weight: 2, arbitrary: fc.record({...place, kind: fc.constant('read' as const)})},
);

const time = {at: fc.nat(2500), duration: fc.integer({min: 50, max: 3000})};

type WeightedFault = {readonly kinds: ReadonlyArray<Fault['kind']>; readonly weight: number; readonly arbitrary: fc.Arbitrary<Fault>};

const faults: readonly WeightedFault[] = [
	{
		kinds: ['freezeHost'], weight: 2, arbitrary: fc.record({
			...time, kind: fc.constant('freezeHost' as const), host, closes: fc.constantFrom('delivered' as const, 'delivered' as const, 'lost' as const),
		}),
	},
	{
		kinds: ['restartHost'], weight: 1, arbitrary: fc.record({
			...time, kind: fc.constant('restartHost' as const), host, writtenActions: fc.nat(3),
		}),
	},
	{kinds: ['freezeEntry', 'restartEntry'], weight: 1, arbitrary: fc.record({...time, kind: fc.constantFrom('freezeEntry' as const, 'restartEntry' as const), entry})},
	{
		kinds: ['cutHosts', 'holdHosts'], weight: 2, arbitrary: fc.record({
			...time, kind: fc.constantFrom('cutHosts' as const, 'holdHosts' as const), host, other: fc.integer({min: 1, max: hostCount - 1}),
		}),
	},
	{
		kinds: ['partition'], weight: 2, arbitrary: fc.record({
			...time, kind: fc.constant('partition' as const), host, entry,
		}),
	},
	{
		kinds: ['cutEntry', 'holdEntry'], weight: 1, arbitrary: fc.record({
			...time, kind: fc.constantFrom('cutEntry' as const, 'holdEntry' as const), host, entry,
		}),
	},
	{
		kinds: ['holdCalls'], weight: 3, arbitrary: fc.record({
			...time, kind: fc.constant('holdCalls' as const), host, closes: fc.constantFrom('delivered' as const, 'late' as const, 'lost' as const),
		}),
	},
	{kinds: ['holdResponses'], weight: 1, arbitrary: fc.record({...time, kind: fc.constant('holdResponses' as const), host})},
	{kinds: ['storm'], weight: 2, arbitrary: fc.record({...time, kind: fc.constant('storm' as const)})},
	{kinds: ['transfer'], weight: 1, arbitrary: fc.record({...time, kind: fc.constant('transfer' as const), host})},
];

/**
 * Creates arbitrary plans.
 * @param kinds - Kinds of the faults; all by default.
 */
export function createPlans(kinds?: readonly string[]): fc.Arbitrary<Plan> {
	const chosen = kinds === undefined ? faults : faults.filter(fault => fault.kinds.some(kind => kinds.includes(kind)));
	return fc.record({
		seed: fc.nat(),
		operators: fc.tuple(
			fc.array(operatorStep, {minLength: 2, maxLength: 6}),
			fc.array(operatorStep, {maxLength: 3}),
		),
		faults: fc.array(fc.oneof(...chosen), {maxLength: maximumFaults}),
	});
}
