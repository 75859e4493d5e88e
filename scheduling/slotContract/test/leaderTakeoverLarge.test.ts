import t from 'tap';

import {checkReplacedLeader} from './checkTakeover.js';
import {LARGE_DEPLOYMENT} from './overloadedSet.js';
import {TEST_TIMEOUT_MS} from './testTimeout.js';

t.setTimeout(TEST_TIMEOUT_MS);
checkReplacedLeader(LARGE_DEPLOYMENT);
