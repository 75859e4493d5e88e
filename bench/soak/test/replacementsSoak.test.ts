import {checkRun} from './checkRun.js';

checkRun({
  seed: 201,
  vms: 4,
  load: 'operators',
  disturbances: 'replacements',
  durationMs: 25_000,
});
