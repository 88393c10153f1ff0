export * from './probe-budget.js';
export * from './probe-duties.js';
export * from './probe-schedule.js';
export * from './load-query-budget.js';
