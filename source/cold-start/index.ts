export * from './allocator.js';
export * from './capacity.js';
export type {ColdServer} from './cold-state.js';
export * from './earlier-capacity.js';
export * from './inheritance.js';
export * from './rate-allocator.js';
