export {runSlopes} from './slopes.js';
