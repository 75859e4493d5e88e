import t from 'tap';

import {checkLapsedLeader} from './checkTakeover.js';
import {MIDDLE_DEPLOYMENT} from './overloadedSet.js';

const TEST_TIMEOUT_MS = 120_000;

t.setTimeout(TEST_TIMEOUT_MS);
checkLapsedLeader(MIDDLE_DEPLOYMENT);
