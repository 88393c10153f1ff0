/** Statements of a scenario, as the parser gives them. */

/** A process of the system, or several. */
export type Target
	= | {readonly kind: 'leader'}
		| {readonly kind: 'allControl'}
		| {readonly kind: 'allEntries'}
		| {readonly kind: 'control'; readonly number: number}
		| {readonly kind: 'entry'; readonly number: number};

/** One option of a service or of a server's behaviour. */
export type Option = {readonly name: string; readonly value: string};

/** What can be done to a process. */
export type ProcessVerb = 'kill' | 'freeze' | 'thaw' | 'lose' | 'restart' | 'stop';

/** One statement with its line. */
export type Statement = {readonly line: number} & (
	| {readonly kind: 'seed' | 'control' | 'entries'; readonly number: number}
	| {readonly kind: 'zones'; readonly zones: readonly string[]}
	| {readonly kind: 'term'; readonly milliseconds: number}
	| {readonly kind: 'service'; readonly name: string; readonly options: readonly Option[]}
	| {readonly kind: 'start' | 'quiet' | 'heal'}
	| {readonly kind: 'load'; readonly service: string; readonly rate: number; readonly isKeyed: boolean}
	| {readonly kind: 'wait' | 'expectReady' | 'expectWarm'; readonly milliseconds: number}
	| {readonly kind: 'expectMembers'; readonly number: number; readonly milliseconds: number}
	/** A process that restarts stays down for a time. */
	| {readonly kind: 'process'; readonly verb: ProcessVerb; readonly target: Target; readonly downMilliseconds: number}
	| {readonly kind: 'cut'; readonly from: Target; readonly way: 'both' | 'to' | 'from'}
	| {readonly kind: 'zone'; readonly action: 'out' | 'in'; readonly zone: string}
	| {readonly kind: 'server'; readonly verb: 'leave' | 'crash' | 'restart' | 'drain'; readonly server: string}
	| {readonly kind: 'change'; readonly server: string; readonly options: readonly Option[]}
	| {readonly kind: 'race'; readonly operators: number; readonly changes: number}
	| {readonly kind: 'resendCrashing'; readonly service: string; readonly times: number}
	| {readonly kind: 'check'; readonly checks: readonly string[]}
);
