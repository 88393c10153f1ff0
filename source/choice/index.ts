export * from './candidate.js';
export * from './chooser.js';
export * from './peer-counts.js';
export * from './load-query.js';
export type * from './load-reading.js';
export * from './admission.js';
export * from './subset.js';
export * from './candidate-pools.js';
export * from './zone-room.js';
