import {checkRun} from './checkRun.js';

checkRun(31, 5, 'operators');
