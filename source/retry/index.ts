export * from './attempt-budget.js';
export * from './retry-policy.js';
export * from './hedge-delay.js';
export * from './slack-account.js';
export * from './slack-meter.js';
export * from './slack-part.js';
