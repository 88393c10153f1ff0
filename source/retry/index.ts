export * from './attempt-budget.js';
export * from './decision.js';
export * from './delay.js';
