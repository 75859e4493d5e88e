import {checkUngrantedLimits} from './checkRateLimits.js';

checkUngrantedLimits({
  entries: 200,
  endpoints: 41,
  concurrency: 5,
  requestsPerSecond: 200,
});
