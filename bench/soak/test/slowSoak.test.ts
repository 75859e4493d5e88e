import {checkRun} from './checkRun.js';

checkRun({
  seed: 101,
  vms: 4,
  load: 'operators',
  disturbances: 'slow',
  durationMs: 20_000,
});
