import t from 'tap';

import {checkReplacedLeader} from './checkTakeover.js';
import {LARGE_DEPLOYMENT} from './overloadedSet.js';

const TEST_TIMEOUT_MS = 120_000;

t.setTimeout(TEST_TIMEOUT_MS);
checkReplacedLeader(LARGE_DEPLOYMENT);
