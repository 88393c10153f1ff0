export * from './control-links.js';
export * from './earlier-state.js';
export * from './entry-slack-part.js';
export * from './grant-application.js';
export * from './lease-keeper.js';
export * from './readiness.js';
export * from './zone-view.js';
