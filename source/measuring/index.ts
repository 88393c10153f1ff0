export * from './probe-budget.js';
export * from './duties.js';
export * from './schedule.js';
export * from './questions.js';
