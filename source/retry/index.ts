export * from './budget.js';
export * from './decision.js';
export * from './delay.js';
