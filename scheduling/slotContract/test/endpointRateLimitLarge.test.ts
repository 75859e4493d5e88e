import {checkRateLimits} from './checkRateLimits.js';

checkRateLimits({
  entries: 200,
  endpoints: 82,
  concurrency: 5,
  requestsPerSecond: 400,
});
