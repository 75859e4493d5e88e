import t from 'tap';

import {checkLapsedLeader} from './checkTakeover.js';
import {SMALL_DEPLOYMENT} from './overloadedSet.js';

const TEST_TIMEOUT_MS = 120_000;

t.setTimeout(TEST_TIMEOUT_MS);
checkLapsedLeader(SMALL_DEPLOYMENT);
