export * from './candidate.js';
export * from './chooser.js';
export * from './peer-counts.js';
export * from './reading.js';
export * from './room.js';
