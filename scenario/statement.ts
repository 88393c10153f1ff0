/** Types of the statements that the parser of `grammar.peggy` returns. */

/** The process or processes to which a statement applies. */
export type Target
	= | {readonly kind: 'leader'}
		| {readonly kind: 'allControl'}
		| {readonly kind: 'allEntries'}
		| {readonly kind: 'control'; readonly number: number}
		| {readonly kind: 'entry'; readonly number: number};

/** An option of a service, or a field of the behaviour of a server, with its unparsed value. */
export type Option = {readonly name: string; readonly value: string};

/** Action on a process. `lose` kills the process and deletes its data; `stop` and `restart` are graceful. */
export type ProcessVerb = 'kill' | 'freeze' | 'thaw' | 'lose' | 'restart' | 'stop';

/** A statement with its line number. */
export type Statement = {readonly line: number} & (
	| {readonly kind: 'seed' | 'control' | 'entries'; readonly number: number}
	| {readonly kind: 'zones'; readonly zones: readonly string[]}
	| {readonly kind: 'term'; readonly milliseconds: number}
	| {readonly kind: 'service'; readonly name: string; readonly options: readonly Option[]}
	| {readonly kind: 'start' | 'quiet' | 'heal'}
	| {readonly kind: 'load'; readonly service: string; readonly rate: number; readonly isKeyed: boolean}
	| {readonly kind: 'wait' | 'expectReady' | 'expectWarm'; readonly milliseconds: number}
	| {readonly kind: 'expectMembers'; readonly number: number; readonly milliseconds: number}
	/** `downMilliseconds` is the time between the exit and the start of a process that is restarted. */
	| {readonly kind: 'process'; readonly verb: ProcessVerb; readonly target: Target; readonly downMilliseconds: number}
	| {readonly kind: 'cut'; readonly from: Target; readonly way: 'both' | 'to' | 'from'}
	| {readonly kind: 'zone'; readonly action: 'out' | 'in'; readonly zone: string}
	| {readonly kind: 'server'; readonly verb: 'leave' | 'crash' | 'restart' | 'drain'; readonly server: string}
	| {readonly kind: 'change'; readonly server: string; readonly options: readonly Option[]}
	/** The first `number` servers of a service state one after the other, within `spreadMilliseconds`, that they leave, and go `stayMilliseconds` later. */
	| {readonly kind: 'withdraw'; readonly service: string; readonly number: number; readonly spreadMilliseconds: number; readonly stayMilliseconds: number}
	/** For `totalMilliseconds`, `number` servers of a service at a time, in turn, refuse requests and ask for a pause of `milliseconds`. */
	| {readonly kind: 'pause'; readonly service: string; readonly number: number; readonly milliseconds: number; readonly totalMilliseconds: number}
	| {readonly kind: 'race'; readonly operators: number; readonly changes: number}
	| {readonly kind: 'resendCrashing'; readonly service: string; readonly times: number}
	| {readonly kind: 'check'; readonly checks: readonly string[]}
);
