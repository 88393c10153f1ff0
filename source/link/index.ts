export * from './link.js';
export type {LinkUse} from './link-use.js';
