import {checkUngrantedLimits, LARGE_SIZE} from './checkRateLimits.js';

checkUngrantedLimits(LARGE_SIZE);
