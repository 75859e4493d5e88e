import t from 'tap';

import {checkLapsedLeader} from './checkTakeover.js';
import {MIDDLE_DEPLOYMENT} from './overloadedSet.js';
import {TEST_TIMEOUT_MS} from './testTimeout.js';

t.setTimeout(TEST_TIMEOUT_MS);
checkLapsedLeader(MIDDLE_DEPLOYMENT);
