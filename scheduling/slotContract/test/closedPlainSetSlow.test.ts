import t from 'tap';

import {checkAfterBurst} from './burstSet.js';

const TEST_TIMEOUT_MS = 120_000;

t.setTimeout(TEST_TIMEOUT_MS);
checkAfterBurst(200);
