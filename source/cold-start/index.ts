export * from './allocator.js';
export * from './capacity.js';
