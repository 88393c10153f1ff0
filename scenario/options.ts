/** Reads the options that statements give to services and servers. */
import {type Behaviour} from '../stand-in/index.js';
import {type Option} from './statement.js';

/** Servers of one service in a scenario. */
export type ServiceShape = {readonly name: string; readonly servers: number; readonly behaviour: Partial<Behaviour>; readonly easingGrowth: number; readonly isRead: boolean};

/**
 * Gets the servers that a statement asks for.
 * @param name - Name of the service.
 * @param options - Options of the statement.
 */
export function getServiceShape(name: string, options: readonly Option[]): ServiceShape {
	const numbers = new Map(options.map(option => [option.name, Number(option.value)]));
	return {
		name,
		servers: numbers.get('servers') ?? 3,
		easingGrowth: numbers.get('growth') ?? 0.5,
		isRead: false,
		behaviour: getBehaviour(options.filter(option => option.name !== 'servers' && option.name !== 'growth')),
	};
}

/**
 * Gets a stand-in's behaviour.
 * @param options - Fields of the behaviour.
 */
export function getBehaviour(options: readonly Option[]): Partial<Behaviour> {
	return Object.fromEntries(options.map(({name, value}) => [name, getValue(value)]));
}

function getValue(text: string): number | boolean | string {
	if (text === 'true' || text === 'false') {
		return text === 'true';
	}

	return Number.isNaN(Number(text)) ? text : Number(text);
}
