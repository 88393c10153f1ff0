export * from './allocator.js';
export * from './capacity.js';
export * from './inheritance.js';
export * from './rate-allocator.js';
