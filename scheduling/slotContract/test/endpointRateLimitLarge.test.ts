import {checkRateLimits, LARGE_SIZE} from './checkRateLimits.js';

checkRateLimits(LARGE_SIZE);
