export * from './probe-budget.js';
export * from './probe-duties.js';
export * from './schedule.js';
export * from './questions.js';
