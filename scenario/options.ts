/** Parses the options of the `service` and `change` statements. */
import {type Behaviour} from '../stand-in/index.js';
import {type Option} from './statement.js';

/** A service of a scenario, with the number and the behaviour of its servers. */
export type ServiceDefinition = {readonly name: string; readonly serverCount: number; readonly behaviour: Partial<Behaviour>; readonly easingGrowth: number; readonly isRead: boolean};

/**
 * Parses the options of a `service` statement.
 * @param name - Name of the service.
 * @param options - `servers`, `growth`, and fields of the behaviour of its servers.
 */
export function parseServiceOptions(name: string, options: readonly Option[]): ServiceDefinition {
	const numberOptions = new Map(options.map(option => [option.name, Number(option.value)]));
	return {
		name,
		serverCount: numberOptions.get('servers') ?? 3,
		easingGrowth: numberOptions.get('growth') ?? 0.5,
		isRead: false,
		behaviour: parseBehaviour(options.filter(option => option.name !== 'servers' && option.name !== 'growth')),
	};
}

/**
 * Parses fields of the behaviour of a stand-in server.
 * @param options - Names and values of the fields.
 */
export function parseBehaviour(options: readonly Option[]): Partial<Behaviour> {
	return Object.fromEntries(options.map(({name, value}) => [name, parseValue(value)]));
}

function parseValue(text: string): number | boolean | string {
	if (text === 'true' || text === 'false') {
		return text === 'true';
	}

	return Number.isNaN(Number(text)) ? text : Number(text);
}
