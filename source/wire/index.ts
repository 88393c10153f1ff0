export * from './frame.js';
export * from './link.js';
