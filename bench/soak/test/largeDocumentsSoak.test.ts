import {checkRun} from './checkRun.js';

checkRun(42, 4, 'largeDocuments');
