export * from './attempt-budget.js';
export * from './retry-policy.js';
export * from './hedge-delay.js';
