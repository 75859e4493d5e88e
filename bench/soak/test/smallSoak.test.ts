import {checkRun} from './checkRun.js';

checkRun(14, 4);
