import {type Statement} from './statement.js';

export function parse(text: string): readonly Statement[];
export class SyntaxError extends Error {
	readonly location: {readonly start: {readonly line: number; readonly column: number}};
}
