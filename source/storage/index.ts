export * from './data-folder.js';
export * from './record.js';
export * from './set-aside.js';
export type {SnapshotCodec} from './snapshot-files.js';
export * from './store.js';
export * from './files.js';
