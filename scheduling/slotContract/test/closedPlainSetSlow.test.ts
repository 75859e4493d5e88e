import t from 'tap';

import {checkAfterBurst} from './burstSet.js';
import {TEST_TIMEOUT_MS} from './testTimeout.js';

t.setTimeout(TEST_TIMEOUT_MS);
checkAfterBurst(200);
