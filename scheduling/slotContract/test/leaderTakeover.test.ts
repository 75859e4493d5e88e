import t from 'tap';

import {checkReplacedLeader} from './checkTakeover.js';
import {MIDDLE_DEPLOYMENT, SMALL_DEPLOYMENT} from './overloadedSet.js';
import {TEST_TIMEOUT_MS} from './testTimeout.js';

t.setTimeout(TEST_TIMEOUT_MS);
checkReplacedLeader(SMALL_DEPLOYMENT);
checkReplacedLeader(MIDDLE_DEPLOYMENT);
