import {checkRun} from './checkRun.js';

checkRun(20, 9);
