export * from './probe-budget.js';
export * from './probe-duties.js';
export * from './probe-schedule.js';
export * from './questions.js';
