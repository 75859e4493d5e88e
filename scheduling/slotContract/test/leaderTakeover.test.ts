import t from 'tap';

import {checkReplacedLeader} from './checkTakeover.js';
import {MIDDLE_DEPLOYMENT, SMALL_DEPLOYMENT} from './overloadedSet.js';

const TEST_TIMEOUT_MS = 120_000;

t.setTimeout(TEST_TIMEOUT_MS);
checkReplacedLeader(SMALL_DEPLOYMENT);
checkReplacedLeader(MIDDLE_DEPLOYMENT);
